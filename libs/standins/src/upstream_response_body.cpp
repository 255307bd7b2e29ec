#include "poplarport/standins/upstream/response_body.hpp"

#include <algorithm> // min
#include <array>     // array

#include <xxhash.h>

namespace poplarport::standins
{

namespace
{

constexpr unsigned bits_per_byte = 8;
using word_bytes = std::array<char, sizeof(std::uint64_t)>;

// Always little-endian, so that client and upstream may run on different architectures.
word_bytes to_bytes(std::uint64_t value)
{
    word_bytes bytes{};
    for (auto& byte : bytes)
    {
        byte = static_cast<char>(value & 0xffU);
        value >>= bits_per_byte;
    }
    return bytes;
}

} // namespace

struct body_hash::state
{
    struct release
    {
        void operator()(XXH64_state_t* released) const noexcept
        {
            XXH64_freeState(released);
        }
    };

    std::unique_ptr<XXH64_state_t, release> hash{XXH64_createState()};
};

body_hash::body_hash() : data(std::make_unique<state>())
{
    XXH64_reset(this->data->hash.get(), 0);
}

body_hash::~body_hash() = default;

void body_hash::append(std::string_view bytes)
{
    if (!bytes.empty())
    {
        XXH64_update(this->data->hash.get(), bytes.data(), bytes.size());
    }
}

std::uint64_t body_hash::value() const
{
    return XXH64_digest(this->data->hash.get());
}

std::uint64_t hash_of_body(std::string_view body)
{
    return XXH64(body.data(), body.size(), 0);
}

std::string response_body(std::string_view key, std::uint64_t request_hash, std::size_t size)
{
    const std::uint64_t seed = XXH64(key.data(), key.size(), request_hash);
    std::string body;
    body.reserve(size);
    for (std::uint64_t position = 0; body.size() < size; ++position)
    {
        const auto counter = to_bytes(position);
        const auto word = to_bytes(XXH64(counter.data(), counter.size(), seed));
        body.append(word.data(), std::min(word.size(), size - body.size()));
    }
    return body;
}

} // namespace poplarport::standins
