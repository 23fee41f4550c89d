/// @file The separately compiled sources of Boost.Asio and Boost.Beast, built once for all targets.
#include <utility>

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
