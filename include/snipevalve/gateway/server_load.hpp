#ifndef SNIPEVALVE_GATEWAY_SERVER_LOAD_HPP
#define SNIPEVALVE_GATEWAY_SERVER_LOAD_HPP

namespace snipevalve {

/// @brief What a server says of its load in an answer.
struct ServerLoad
{
    unsigned running = 0; ///< requests that it works on
    unsigned waiting = 0; ///< requests in its own queue
    unsigned slots = 1; ///< requests that it runs concurrently
    double slowdown = 1.0; ///< how long work takes on its machine now, relative to usual; 3 means three times as long

    bool operator==(const ServerLoad &) const = default;
};

/// @brief The valid range of each field. Values outside are taken for errors.
struct ServerLoadLimits
{
    static constexpr unsigned MaxRequests = 100'000; ///< running, and waiting
    static constexpr unsigned MaxSlots = 10'000;
    static constexpr unsigned MinSlowdownPercent = 10;
    static constexpr unsigned MaxSlowdownPercent = 10'000;
};

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_SERVER_LOAD_HPP
