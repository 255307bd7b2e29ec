#pragma once

#include <cstdint>      // uint64_t
#include <functional>   // function
#include <optional>     // optional
#include <string>       // string
#include <system_error> // error_code
#include <vector>       // vector

#include "poplarport/core/time.hpp"
#include "poplarport/store/errors.hpp"
#include "poplarport/store/position.hpp"

namespace poplarport::store
{

/// @brief How current the result of a read must be.
enum class consistency
{
    latest, ///< contains every change that was acknowledged before the call
    may_lag ///< may be seconds old; costs the store much less
};

/// @brief One object of a kind.
struct object
{
    std::string name;
    position changed_at{}; ///< of the last change
    std::string spec;      ///< JSON text
    std::string status;    ///< JSON text; `null` when no status has been written
};

/// @brief The complete list of the objects of a kind.
struct listing
{
    std::vector<object> objects;
    position at{}; ///< from which a watch continues
};

/// @brief One change of an object.
struct change
{
    object after; ///< the object after the change, or its last state when it was removed
    bool removed{false};
};

/// @brief Changes in ascending order of their revisions.
struct change_list
{
    std::vector<change> changes;
    position at{};              ///< from which the next watch continues
    bool may_be_partial{false}; ///< so large that the store may have left out later changes
};

/// @brief Result of a store call: a value, or an error with details.
template <typename value_type>
struct outcome
{
    std::optional<value_type> value{};
    std::error_code error{};         ///< one of `errc`; empty when there is a value
    std::optional<object> current{}; ///< on errc::conflict: the object as stored
};

/// @brief Interface of an object store: objects by kind and name, conditional writes, and watches.
///
/// Each function sends one call, or several for a long list. Its callback is called once, in a later iteration of the
/// event loop.
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

    /// @brief Reads all objects of a kind.
    virtual void list(const std::string& kind, consistency wanted, list_hook hook) = 0;

    /// @brief Waits for changes of a kind after a position. Ends with errc::history_lost if it is of an earlier era or
    /// no longer kept.
    /// @param[in] after position that the caller has seen, from a listing or an earlier watch
    /// @param[in] wait  maximum time to wait; an empty list is returned when nothing has changed by then
    virtual void watch(const std::string& kind, const position& after, core::duration wait, watch_hook hook) = 0;

    virtual void get(const std::string& kind, const std::string& name, object_hook hook) = 0;

    /// @brief Creates an object; fails with errc::conflict when it exists already.
    virtual void create(const std::string& kind, const std::string& name, const std::string& spec,
                        object_hook hook) = 0;

    /// @brief Replaces the spec of an object if it still has the position in `changed`; otherwise errc::conflict.
    /// A condition of an earlier era is not sent and ends with errc::restored.
    virtual void replace(const std::string& kind, const object& changed, object_hook hook) = 0;

    /// @brief Removes an object if it still has the expected position; otherwise errc::conflict.
    /// A condition of an earlier era is not sent and ends with errc::restored.
    virtual void remove(const std::string& kind, const std::string& name, const position& expected,
                        object_hook hook) = 0;

    /// @brief Adds a hook that is called when the store has come back from an older copy: what was read or written
    /// before may be gone, and positions from before no longer hold. It is called before that of the call that showed
    /// it.
    virtual void on_restored(std::function<void()> hook) = 0;

    /// @return the era of the latest response, zero if the store states none
    [[nodiscard]] virtual era current_era() const noexcept = 0;

    /// @return number of calls sent since construction
    [[nodiscard]] virtual std::uint64_t calls() const noexcept = 0;

    /// @return number of calls without a usable response since construction
    [[nodiscard]] virtual std::uint64_t failures() const noexcept = 0;
};

} // namespace poplarport::store
