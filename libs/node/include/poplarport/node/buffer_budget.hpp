#pragma once

#include <cstddef> // size_t

namespace poplarport::node
{

/// @brief Memory that the calls of a node share for responses that they buffer beyond their own limits.
class buffer_budget
{
  public:
    /// @param[in] bytes size of the budget
    explicit buffer_budget(std::size_t bytes) noexcept : available(bytes)
    {
    }

    /// @brief Part of the budget that one call uses; returned at its destruction. Must not outlive the budget.
    class share
    {
      public:
        share() = default;
        ~share();
        share(share&& other) noexcept;
        share& operator=(share&& other) noexcept;
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// @brief Increases the share to the given size.
        /// @return whether the budget has room for it; otherwise the share keeps its size
        [[nodiscard]] bool grow_to(buffer_budget& budget, std::size_t bytes) noexcept;

        /// @brief Returns the share to the budget.
        void release() noexcept;

      private:
        buffer_budget* owner{nullptr};
        std::size_t size{0};
    };

    /// @return bytes that are not in use
    [[nodiscard]] std::size_t available_bytes() const noexcept
    {
        return this->available;
    }

  private:
    std::size_t available;
};

} // namespace poplarport::node
