#ifndef REVIEW_NODE_HPP
#define REVIEW_NODE_HPP

#include <filesystem>

#include "store.hpp"

namespace review {

/// @brief A temporary folder that is removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    const std::filesystem::path &path() const;

private:
    std::filesystem::path m_path;
};

/// @brief A process of the system, started by the command of the deploy file with settings like the platform's.
class Node
{
public:
    struct Options
    {
        std::string name;
        std::string ip;
        std::vector<std::string> bounds = defaultBounds(); ///< of the site klikoglans-gw
        std::vector<Address> seeds{};
        int maxDescriptors = 4100;
    };

    static std::vector<std::string> defaultBounds();

    Node(const TemporaryFolder &folder, const Store &store, const Options &options);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start();
    void sendSignal(int signal) const;

    /// @brief Waits until the process has ended.
    void wait();
    bool isRunning();
    bool isReady() const;
    std::size_t openDescriptors() const;
    const std::string &name() const;
    const Address &callers() const;
    const Address &readiness() const;
    const Address &control() const;

    /// @brief Ends all processes that were started. Safe to call from any thread.
    static void killAll();

private:
    void writeSettings(const Store &store) const;

    Options m_options;
    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    Address m_callers;
    Address m_readiness;
    Address m_control;
    int m_pid = 0;
};

/// @brief The operators' configuration: safe requests below /k/ go to the keyed service `ledger`; below /p/ and /u/ are
/// paid requests and uploads, and below /s/ safe requests, for `debits`.
/// @param services names and whether they are keyed
std::string smallConfig(const std::vector<std::pair<std::string, bool>> &services);

/// @brief Waits until the node answers a safe request with 200.
void waitUntilServed(const Node &node, const std::string &path);

/// @brief Sends one lookup with a key and writes it and its answer to the record. @return whether it was served
bool lookUp(Record &record, const Node &node, int number);

} // namespace review

#endif // REVIEW_NODE_HPP
