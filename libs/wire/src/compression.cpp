#include "poplarport/wire/compression.hpp"

#include <cassert> // assert
#include <utility> // move

#include <zlib.h>

namespace poplarport::wire
{

std::string compress(std::string_view text)
{
    auto size = ::compressBound(static_cast<uLong>(text.size()));
    std::string result(size, '\0');
    [[maybe_unused]] const int status =
        ::compress2(reinterpret_cast<Bytef*>(result.data()), &size, reinterpret_cast<const Bytef*>(text.data()),
                    static_cast<uLong>(text.size()), Z_BEST_SPEED);
    assert(status == Z_OK);
    result.resize(size);
    return result;
}

std::optional<std::string> decompress(std::string_view bytes, std::size_t max_bytes)
{
    // The output grows with the input, so that a small damaged input does not allocate the maximum.
    constexpr std::size_t chunk_bytes = 65536;
    z_stream stream{};
    if (::inflateInit(&stream) != Z_OK)
    {
        return std::nullopt;
    }
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string result;
    int status = Z_OK;
    while (status == Z_OK && result.size() <= max_bytes)
    {
        const auto used = result.size();
        result.resize(used + chunk_bytes);
        stream.next_out = reinterpret_cast<Bytef*>(result.data() + used);
        stream.avail_out = chunk_bytes;
        status = ::inflate(&stream, Z_NO_FLUSH);
        result.resize(used + chunk_bytes - stream.avail_out);
    }
    const bool is_whole = status == Z_STREAM_END && stream.avail_in == 0 && result.size() <= max_bytes;
    ::inflateEnd(&stream);
    return is_whole ? std::optional{std::move(result)} : std::nullopt;
}

} // namespace poplarport::wire
