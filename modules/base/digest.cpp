#include <base/digest.h>

#include <algorithm>
#include <glib.h>
#include <memory>
#include <xxhash.h>

namespace chivewharf {

sha256_digest sha256(std::string_view data)
{
    const std::unique_ptr<GChecksum, decltype(&g_checksum_free)> checksum{
        g_checksum_new(G_CHECKSUM_SHA256), &g_checksum_free};
    g_checksum_update(checksum.get(), reinterpret_cast<const guchar*>(data.data()),
                      static_cast<gssize>(data.size()));
    sha256_digest digest{};
    gsize size = digest.size();
    g_checksum_get_digest(checksum.get(), digest.data(), &size);
    return digest;
}

body_digest digest_body(std::string_view data)
{
    const auto full = sha256(data);
    body_digest digest{};
    std::copy_n(full.begin(), digest.size(), digest.begin());
    return digest;
}

sha256_digest hmac_sha256(std::string_view key, std::string_view data)
{
    const std::unique_ptr<GHmac, decltype(&g_hmac_unref)> hmac{
        g_hmac_new(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(key.data()), key.size()),
        &g_hmac_unref};
    g_hmac_update(hmac.get(), reinterpret_cast<const guchar*>(data.data()),
                  static_cast<gssize>(data.size()));
    sha256_digest digest{};
    gsize size = digest.size();
    g_hmac_get_digest(hmac.get(), digest.data(), &size);
    return digest;
}

std::string to_hex(const std::uint8_t* data, std::size_t size)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text += digits[data[i] >> 4U];
        text += digits[data[i] & 0xfU];
    }
    return text;
}

std::string to_hex(std::uint64_t number)
{
    std::array<std::uint8_t, 8> bytes{};
    for (std::size_t i = 0; i < bytes.size(); ++i)
        bytes[i] = static_cast<std::uint8_t>(number >> (56 - 8 * i));
    return to_hex(bytes.data(), bytes.size());
}

bool equal_constant_time(const sha256_digest& a, const sha256_digest& b) noexcept
{
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
        difference |= static_cast<unsigned>(a[i] ^ b[i]);
    return difference == 0;
}

std::uint64_t stable_hash(std::string_view data, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

} // namespace chivewharf
