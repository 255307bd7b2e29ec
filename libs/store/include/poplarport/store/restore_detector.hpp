#pragma once

#include <functional> // function
#include <vector>     // vector

#include "poplarport/store/object_store.hpp"

namespace poplarport::store
{

/// @brief Detects from the eras that the store's responses state that it has come back from an older copy.
class restore_detector
{
  public:
    /// @brief Adds a hook that is called at each restore.
    void on_restored(std::function<void()> hook);

    /// @brief Records the era that a response states, and calls the hooks if it is another one than before.
    ///
    /// A lower era is from before a restore if the request was sent before the restore was noticed. If later requests
    /// get it too, the store counts anew, or an earlier response has stated a wrong era; after some of them it holds.
    /// @param[in] stated  era that the response states
    /// @param[in] at_send what `current` returned when the request was sent
    /// @return whether the response may be used
    [[nodiscard]] bool accept(era stated, era at_send);

    /// @return the era of the store, zero if no response has stated one
    [[nodiscard]] era current() const noexcept
    {
        return this->present;
    }

    /// @return whether the store has come back from an older copy since a position was read
    [[nodiscard]] bool is_restored_since(const position& read) const noexcept
    {
        return read.in_era != this->present;
    }

    /// @brief Checks the result of a conditional write. The store compares revisions only: if it came back from an
    /// older copy before it executed the call, the condition may have matched another object.
    /// @return the result, or errc::restored in place of a success that proves nothing
    [[nodiscard]] outcome<object> check(const position& condition, outcome<object> result) const;

  private:
    std::vector<std::function<void()>> hooks{};
    era present{0};
    int lower_in_succession{0}; ///< responses of a lower era to requests that were sent in the present one
};

} // namespace poplarport::store
