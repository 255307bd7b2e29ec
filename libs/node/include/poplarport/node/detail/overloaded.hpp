#pragma once

namespace poplarport::node::detail
{

/// @brief Combines several function objects into one visitor for std::visit.
template <typename... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};

template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace poplarport::node::detail
