#pragma once

namespace poplarport::node::detail
{

/// @brief Joins functions into one visitor of a variant.
template <typename... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};

template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace poplarport::node::detail
