#include "poplarport/manifest/lookup.hpp"

#include <algorithm> // ranges::find, ranges::equal, ranges::transform
#include <array>     // array

#include "poplarport/manifest/errors.hpp"

namespace poplarport::manifest
{
namespace
{

constexpr char to_lower(char character) noexcept
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

bool equals_ignoring_case(std::string_view left, std::string_view right) noexcept
{
    return std::ranges::equal(left, right, {}, to_lower, to_lower);
}

std::string_view path_of(std::string_view target) noexcept
{
    return target.substr(0, target.find_first_of("?#"));
}

/// @return whether the segments of a prefix are the first segments of a path: `/a` matches `/a` and `/a/b`, not `/ab`
bool has_path_prefix(std::string_view path, std::string_view prefix) noexcept
{
    if (!path.starts_with(prefix))
    {
        return false;
    }
    return prefix == "/" || path.size() == prefix.size() || path[prefix.size()] == '/';
}

/// @return whether every upstream resolves a path to the path as written
bool is_unambiguous(std::string_view path) noexcept
{
    // Encoded dot, slash, backslash and percent sign; an encoded percent sign yields the others if decoded twice.
    constexpr std::array<std::string_view, 4> ambiguous_escapes{"2e", "2f", "5c", "25"};
    for (std::size_t index = path.find('%'); index != std::string_view::npos; index = path.find('%', index + 1))
    {
        const std::string_view digits = path.substr(index + 1, 2);
        for (const std::string_view escape : ambiguous_escapes)
        {
            if (equals_ignoring_case(digits, escape))
            {
                return false;
            }
        }
    }
    const bool has_dot_segment = path.find("/./") != std::string_view::npos ||
                                 path.find("/../") != std::string_view::npos || path.ends_with("/.") ||
                                 path.ends_with("/..");
    // Some servers remove a path parameter, as in `/..;x/`, before they resolve dot segments.
    const bool has_parameter = path.find(';') != std::string_view::npos;
    return path.starts_with('/') && !has_dot_segment && !has_parameter && path.find("//") == std::string_view::npos &&
           path.find('\\') == std::string_view::npos;
}

/// @return the credential of `Bearer CREDENTIAL`, or nothing
std::optional<std::string_view> bearer_credential(std::string_view authorization) noexcept
{
    constexpr std::string_view scheme = "Bearer ";
    if (authorization.size() <= scheme.size() || !equals_ignoring_case(authorization.substr(0, scheme.size()), scheme))
    {
        return std::nullopt;
    }
    authorization.remove_prefix(scheme.size());
    return authorization;
}

/// @brief Compares a secret with every hash of a tenant, so that the time taken does not reveal which one matched.
bool matches_any(const std::vector<credential_hash>& hashes, std::string_view secret) noexcept
{
    bool is_match = false;
    for (const credential_hash& hash : hashes)
    {
        is_match = matches(hash, secret) || is_match;
    }
    return is_match;
}

/// @brief Removes the port of a `Host` value and converts it to lower case.
std::string normalize_host(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
    {
        host = host.substr(0, colon);
    }
    std::string result{host};
    std::ranges::transform(result, result.begin(), to_lower);
    return result;
}

} // namespace

authentication authenticate(const service_document& document, std::optional<std::string_view> authorization) noexcept
{
    const auto credential = bearer_credential(authorization.value_or(""));
    if (!credential.has_value())
    {
        return {verdict::missing, nullptr};
    }
    const auto dot = credential->find('.');
    const auto name = credential->substr(0, dot);
    const auto secret = dot == std::string_view::npos ? std::string_view{} : credential->substr(dot + 1);
    const auto entry = std::ranges::find(document.tenants, name, &tenant::name);
    if (entry == document.tenants.end())
    {
        // Does the same work as for an existing tenant, so that the time taken does not reveal which tenants exist.
        static const credential_hash substitute{"no tenant has it", {}};
        static_cast<void>(matches(substitute, secret));
        return {verdict::invalid, nullptr};
    }
    if (!matches_any(entry->credentials, secret))
    {
        return {verdict::invalid, nullptr};
    }
    const auto admitted = std::ranges::find(document.rules.tenants, name, &tenant_limits::tenant);
    if (admitted == document.rules.tenants.end())
    {
        return {verdict::not_admitted, nullptr};
    }
    return {verdict::valid, &*admitted};
}

std::error_code to_error_code(verdict result) noexcept
{
    switch (result)
    {
    case verdict::valid:
        return {};
    case verdict::missing:
        return errc::credential_missing;
    case verdict::not_admitted:
        return errc::tenant_not_admitted;
    case verdict::invalid:
        break;
    }
    return errc::credential_invalid;
}

const traffic_class& find_class(const service& rules, std::string_view target, const header_lookup& header)
{
    static const traffic_class built_in_default{default_class_name, 1, "", "", ""};
    const std::string_view path = path_of(target);
    const traffic_class* best_match = &built_in_default;
    for (const traffic_class& candidate : rules.classes)
    {
        if (!candidate.header.empty() && header(candidate.header) == std::string_view{candidate.header_value})
        {
            return candidate;
        }
        const bool is_default = candidate.name == default_class_name;
        const bool is_longer_match = !candidate.path_prefix.empty() && has_path_prefix(path, candidate.path_prefix) &&
                                     candidate.path_prefix.size() > best_match->path_prefix.size();
        if (is_longer_match || (is_default && best_match == &built_in_default))
        {
            best_match = &candidate;
        }
    }
    return *best_match;
}

bool is_repeatable(const service& rules, std::string_view method, std::string_view target) noexcept
{
    const std::string_view path = path_of(target);
    if (!is_unambiguous(path))
    {
        return false;
    }
    return std::ranges::any_of(rules.upstream.repeatable,
                               [method, path](const repeatable_rule& rule) {
                                   return std::ranges::find(rule.methods, method) != rule.methods.end() &&
                                          has_path_prefix(path, rule.path_prefix);
                               });
}

void service_directory::insert(const std::shared_ptr<const service_document>& document)
{
    this->erase(document->rules.name);
    for (const std::string& host : document->rules.hosts)
    {
        // A host stays with the first service, so that the document of another service cannot capture its requests.
        this->by_host.try_emplace(host, document);
    }
    const std::string& name = document->rules.name;
    this->by_name.insert_or_assign(name, document);
}

void service_directory::erase(const std::string& name)
{
    this->by_name.erase(name);
    std::erase_if(this->by_host, [&name](const auto& entry) { return entry.second->rules.name == name; });
}

std::shared_ptr<const service_document> service_directory::find(std::optional<std::string_view> service_field,
                                                                std::string_view host) const
{
    const std::string name = service_field.has_value() ? std::string{*service_field} : normalize_host(host);
    const auto name_match = this->by_name.find(name);
    if (name_match != this->by_name.end())
    {
        return name_match->second;
    }
    const auto host_match = this->by_host.find(name);
    return !service_field.has_value() && host_match != this->by_host.end() ? host_match->second : nullptr;
}

} // namespace poplarport::manifest
