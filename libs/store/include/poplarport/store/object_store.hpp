#pragma once

#include <cstdint>      // uint64_t
#include <functional>   // function
#include <optional>     // optional
#include <string>       // string
#include <system_error> // error_code
#include <vector>       // vector

#include "poplarport/core/time.hpp"
#include "poplarport/store/errors.hpp"

namespace poplarport::store
{

/// @brief Position in the history of a store; each change raises it.
using revision = std::uint64_t;

/// @brief One object of a kind.
struct object
{
    std::string name;
    revision changed_at{0}; ///< revision of the last change
    std::string spec;       ///< JSON text
    std::string status;     ///< JSON text; `null` when none was written
};

/// @brief A whole list of the objects of a kind.
struct listing
{
    std::vector<object> objects;
    revision at{0}; ///< revision from which a watch continues
};

/// @brief One change of an object.
struct change
{
    object after; ///< the object, or its last state when it was removed
    bool removed{false};
};

/// @brief Changes in the order of their revisions.
struct change_list
{
    std::vector<change> changes;
    revision at{0}; ///< revision from which the next watch continues
};

/// @brief Result of a call: a value, or an error with what is known beside it.
template <typename value_type>
struct outcome
{
    std::optional<value_type> value{};
    std::error_code error{};         ///< one of `errc`; clear with a value
    std::optional<object> current{}; ///< on errc::conflict: the object as it is
};

/// @brief The object store of an installation: objects by kind and name, conditional writes, and watches.
///
/// Each function sends one or, for a long list, a few calls. A hook is called once, in a later iteration of the loop.
class object_store
{
  public:
    using list_hook = std::function<void(const outcome<listing>&)>;
    using watch_hook = std::function<void(const outcome<change_list>&)>;
    using object_hook = std::function<void(const outcome<object>&)>;

    object_store() = default;
    virtual ~object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;

    /// @brief Reads all objects of a kind; the answer is up to date.
    virtual void list(const std::string& kind, list_hook hook) = 0;

    /// @brief Waits for changes of a kind after a revision.
    /// @param[in] wait longest time after which an empty list is returned
    virtual void watch(const std::string& kind, revision after, core::duration wait, watch_hook hook) = 0;

    /// @brief Reads one object.
    virtual void get(const std::string& kind, const std::string& name, object_hook hook) = 0;

    /// @brief Creates an object; errc::conflict when it exists.
    virtual void create(const std::string& kind, const std::string& name, const std::string& spec,
                        object_hook hook) = 0;

    /// @brief Replaces the spec of an object that still has a revision.
    virtual void replace(const std::string& kind, const object& changed, object_hook hook) = 0;

    /// @brief Replaces the status of an object, whatever its revision.
    virtual void replace_status(const std::string& kind, const std::string& name, const std::string& status,
                                object_hook hook) = 0;

    /// @brief Removes an object that still has a revision.
    virtual void remove(const std::string& kind, const std::string& name, revision expected, object_hook hook) = 0;

    /// @return calls sent since the start
    [[nodiscard]] virtual std::uint64_t calls() const noexcept = 0;

    /// @return calls without a usable answer since the start
    [[nodiscard]] virtual std::uint64_t failures() const noexcept = 0;
};

} // namespace poplarport::store
