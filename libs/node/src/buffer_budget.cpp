#include "poplarport/node/buffer_budget.hpp"

#include <utility> // exchange

namespace poplarport::node
{

buffer_budget::share::~share()
{
    this->release();
}

buffer_budget::share::share(share&& other) noexcept
    : owner(std::exchange(other.owner, nullptr)), size(std::exchange(other.size, 0))
{
}

buffer_budget::share& buffer_budget::share::operator=(share&& other) noexcept
{
    if (this != &other)
    {
        this->release();
        this->owner = std::exchange(other.owner, nullptr);
        this->size = std::exchange(other.size, 0);
    }
    return *this;
}

bool buffer_budget::share::grow_to(buffer_budget& budget, std::size_t bytes) noexcept
{
    if (bytes <= this->size)
    {
        return true;
    }
    const auto missing = bytes - this->size;
    if (missing > budget.available)
    {
        return false;
    }
    budget.available -= missing;
    this->owner = &budget;
    this->size = bytes;
    return true;
}

void buffer_budget::share::release() noexcept
{
    if (auto* const budget = std::exchange(this->owner, nullptr))
    {
        budget->available += std::exchange(this->size, 0);
    }
}

} // namespace poplarport::node
