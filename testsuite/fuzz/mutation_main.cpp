// Feeds a decoder its seeds and a fixed number of mutations of them:
//
//   PROGRAM RUNS          runs the seeds and RUNS mutations
//   PROGRAM --seeds DIR   writes the seeds to files, for libFuzzer
//   PROGRAM --input FILE  runs the contents of one file
//
// An input for which a check does not hold is written to the file
// PROGRAM.input.
#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fuzz_target.hpp"

namespace fuzz = hibiscustide::fuzz;

namespace
{

constexpr std::uint32_t max_changes = 6;

// The input that is being run, and the file for it if the process aborts.
std::string current_input;
std::string input_file;

extern "C" void write_current_input(int)
{
    // The process ends after this, so the handler may allocate.
    std::ofstream{input_file, std::ios::binary} << current_input;
    std::fprintf(stderr, "input: %s\n", input_file.c_str());
}

void run(std::string bytes)
{
    current_input = std::move(bytes);
    fuzz::run_input(current_input);
}

// Bytes that delimit or continue something in one of the formats.
constexpr auto special_bytes = std::to_array<char>(
    {'\0', '\x01', '\x7f', '\x80', '\xff', '\r', '\n', ' ', '\t', ':',
     ',',  ';',    '=',    '"',    '\\',   '{',  '}',  '[', ']',  '0'});

class mutator
{
public:
    explicit mutator(std::vector<std::string> const& seeds)
        : m_seeds{seeds}
    {
    }

    std::string next()
    {
        auto bytes = m_seeds[below(m_seeds.size())];
        auto const changes = 1 + below(max_changes);
        for (std::size_t n = 0; n < changes; ++n)
        {
            change(bytes);
        }
        return bytes;
    }

private:
    std::size_t below(std::size_t bound)
    {
        return m_random() % bound;
    }

    void change(std::string& bytes)
    {
        enum class kind : std::uint8_t
        {
            replace,
            set_special,
            insert,
            erase,
            repeat,
            splice,
            count
        };
        auto const at = below(bytes.size() + 1);
        auto const length = below(bytes.size() - at + 1);
        auto const special = special_bytes[below(special_bytes.size())];
        switch (static_cast<kind>(below(static_cast<std::size_t>(kind::count))))
        {
        case kind::replace:
            if (at < bytes.size())
            {
                bytes[at] = static_cast<char>(m_random());
            }
            break;
        case kind::set_special:
            if (at < bytes.size())
            {
                bytes[at] = special;
            }
            break;
        case kind::insert:
            bytes.insert(at, 1 + below(3), special);
            break;
        case kind::erase:
            bytes.erase(at, 1 + length / 4);
            break;
        case kind::repeat:
            bytes.insert(at, bytes.substr(at, length));
            break;
        case kind::splice:
        {
            auto const& other = m_seeds[below(m_seeds.size())];
            bytes = bytes.substr(0, at) + other.substr(below(other.size() + 1));
            break;
        }
        case kind::count:
            break;
        }
    }

    std::vector<std::string> const& m_seeds;
    std::mt19937_64 m_random{1};
};

void write_seeds(std::filesystem::path const& folder)
{
    std::filesystem::create_directories(folder);
    int number = 0;
    for (auto const& seed : fuzz::make_seeds())
    {
        std::ofstream file{
            folder / ("seed-" + std::to_string(number++)), std::ios::binary};
        file << seed;
    }
}

void run_mutations(std::uint64_t runs)
{
    auto const seeds = fuzz::make_seeds();
    for (auto const& seed : seeds)
    {
        run(seed);
    }
    mutator source{seeds};
    for (std::uint64_t n = 0; n < runs; ++n)
    {
        run(source.next());
    }
    std::printf(
        "%zu seeds and %llu mutations passed\n", seeds.size(),
        static_cast<unsigned long long>(runs));
}

std::string read_file(char const* path)
{
    std::ifstream file{path, std::ios::binary};
    return {std::istreambuf_iterator<char>{file}, {}};
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string_view> const words{argv + 1, argv + argc};
    if (words.size() == 2 && words.front() == "--seeds")
    {
        write_seeds(words.back());
        return 0;
    }
    input_file = std::string{argv[0]} + ".input";
    std::signal(SIGABRT, write_current_input);
    if (words.size() == 2 && words.front() == "--input")
    {
        run(read_file(argv[2]));
        return 0;
    }
    std::uint64_t runs = 0;
    if (words.size() == 1)
    {
        auto const& text = words.front();
        std::from_chars(text.data(), text.data() + text.size(), runs);
    }
    if (runs == 0)
    {
        std::fprintf(
            stderr, "usage: %s RUNS | --seeds DIR | --input FILE\n", argv[0]);
        return 2;
    }
    run_mutations(runs);
    return 0;
}
