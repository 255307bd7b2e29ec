#include "poplarport/settings/document.hpp"

#include <algorithm> // ranges::stable_sort
#include <fstream>   // ifstream
#include <iterator>  // istreambuf_iterator
#include <utility>   // move

#include "detail/state.hpp"
#include "poplarport/settings/errors.hpp"

namespace poplarport::settings
{
namespace
{

std::string join(const std::set<std::string, std::less<>>& names)
{
    std::string text;
    for (const std::string& name : names)
    {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

/// @brief Records a fault for each key in the file that the program did not request while reading its table.
class unknown_key_search
{
  public:
    explicit unknown_key_search(detail::document_state& searched_document) noexcept : state(searched_document)
    {
    }

    void search(const toml::table& node, const std::string& full_key)
    {
        const auto& declared_keys = this->state.declared_keys[&node];
        for (const auto& [key, value] : node)
        {
            const std::string name{key.str()};
            std::string nested_key = full_key.empty() ? full_key : full_key + ".";
            nested_key += name;
            if (!declared_keys.contains(name))
            {
                this->state.faults.push_back({this->state.file, key.source().begin.line, nested_key, errc::unknown_key,
                                              "an unknown key",
                                              declared_keys.empty() ? "no key" : "one of " + join(declared_keys)});
                continue;
            }
            this->search_value(value, nested_key);
        }
    }

  private:
    void search_value(const toml::node& value, const std::string& full_key)
    {
        if (this->state.invalid_values.contains(&value))
        {
            return;
        }
        if (const toml::table* nested = value.as_table())
        {
            this->search(*nested, full_key);
        }
        if (const toml::array* items = value.as_array())
        {
            for (std::size_t index = 0; index < items->size(); ++index)
            {
                this->search_value(*items->get(index),
                                   std::string{full_key}.append("[").append(std::to_string(index)).append("]"));
            }
        }
    }

    detail::document_state& state;
};

} // namespace

document::document(std::shared_ptr<detail::document_state> shared_state) noexcept : state(std::move(shared_state))
{
}

document document::from_file(const std::string& path)
{
    std::ifstream stream{path, std::ios::binary};
    const std::string text{std::istreambuf_iterator<char>{stream}, std::istreambuf_iterator<char>{}};
    if (!stream.is_open() || stream.bad())
    {
        auto state = std::make_shared<detail::document_state>();
        state->file = path;
        state->faults.push_back({path, 0, "", errc::unreadable_file, "a file that cannot be read", "a readable file"});
        return document{std::move(state)};
    }
    return from_text(text, path);
}

document document::from_text(std::string_view text, const std::string& name)
{
    auto state = std::make_shared<detail::document_state>();
    state->file = name;
    try
    {
        state->root = toml::parse(text, name);
        state->parsed = true;
    }
    catch (const toml::parse_error& error)
    {
        state->faults.push_back({name, error.source().begin.line, "", errc::malformed_toml,
                                 std::string{error.description()}, "TOML, version 1.0"});
    }
    return document{std::move(state)};
}

table document::root() const
{
    const toml::table* node = this->state->parsed ? &this->state->root : nullptr;
    return table{std::make_shared<detail::table_state>(detail::table_state{this->state, node, "", 1})};
}

bool document::is_parsed() const noexcept
{
    return this->state->parsed;
}

std::vector<fault> document::finish()
{
    if (!this->state->parsed)
    {
        // Reads of an unparsed document report every required key as missing; only the first fault names the cause.
        this->state->faults.resize(1);
        return this->state->faults;
    }
    unknown_key_search{*this->state}.search(this->state->root, "");
    std::ranges::stable_sort(this->state->faults, {}, &fault::line);
    return this->state->faults;
}

} // namespace poplarport::settings
