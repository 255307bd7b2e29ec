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

/// @brief Reports the keys below a table that were not declared.
class unknown_key_search
{
  public:
    explicit unknown_key_search(detail::document_state& searched) noexcept : state(searched)
    {
    }

    void search(const toml::table& node, const std::string& path)
    {
        const auto& declared = this->state.declared[&node];
        for (const auto& [key, value] : node)
        {
            const std::string name{key.str()};
            std::string full = path.empty() ? path : path + ".";
            full += name;
            if (!declared.contains(name))
            {
                this->state.faults.push_back({this->state.file, key.source().begin.line, full, errc::unknown_key,
                                              "a key that is not known here",
                                              declared.empty() ? "no key" : "one of " + join(declared)});
                continue;
            }
            this->descend(value, full);
        }
    }

  private:
    void descend(const toml::node& value, const std::string& path)
    {
        if (this->state.rejected.contains(&value))
        {
            return;
        }
        if (const toml::table* nested = value.as_table())
        {
            this->search(*nested, path);
        }
        if (const toml::array* items = value.as_array())
        {
            for (std::size_t index = 0; index < items->size(); ++index)
            {
                this->descend(*items->get(index),
                              std::string{path}.append("[").append(std::to_string(index)).append("]"));
            }
        }
    }

    detail::document_state& state;
};

} // namespace

document::document(std::shared_ptr<detail::document_state> parsed) noexcept : state(std::move(parsed))
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
        // Reads of an unparsed file report every required key as missing; only the cause is of use.
        this->state->faults.resize(1);
        return this->state->faults;
    }
    unknown_key_search{*this->state}.search(this->state->root, "");
    std::ranges::stable_sort(this->state->faults, {}, &fault::line);
    return this->state->faults;
}

} // namespace poplarport::settings
