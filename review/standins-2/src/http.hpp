#ifndef REVIEW_HTTP_HPP
#define REVIEW_HTTP_HPP

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "record.hpp"

namespace review {

struct Address
{
    std::string ip;
    int port = 0;

    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

/// @brief A request or an answer.
struct Message
{
    std::string start; ///< the first line
    std::map<std::string, std::string> headers; ///< by name in lower case
    std::string body;

    std::string header(const std::string &name, const std::string &fallback = {}) const;
    int status() const;
    std::string method() const;
    std::string target() const;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// @brief A blocking TCP connection that reads HTTP messages.
class Connection
{
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// @return null if no connection is made within the timeout
    static std::unique_ptr<Connection> open(const Address &address, Milliseconds timeout);

    /// @brief Limits each wait for bytes.
    void setTimeout(Milliseconds timeout);
    bool write(const std::string &bytes);

    /// @return nothing at the end of the connection, after an error and after the timeout
    std::optional<Message> readRequest();
    std::optional<Message> readAnswer();

    /// @brief Waits until the peer closes the connection; answers nothing.
    void waitForEnd();
    int socket() const;

private:
    bool readMore();
    std::optional<std::string> readLine();
    bool readBytes(std::size_t count, std::string &bytes);
    std::optional<Message> readHead();
    bool readBody(Message &message, bool isRequest);

    int m_socket;
    std::string m_buffer;
};

/// @brief Accepts connections on a free port of a loopback address; each is served by a thread of its own.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;

    Listener(const std::string &ip, Handler handler);

    const Address &address() const;

    /// @brief Accepts nothing more and closes all connections.
    void end();

private:
    void accept();

    Handler m_handler;
    Address m_address;
    int m_socket;
    std::atomic<bool> m_isEnded = false;
    std::mutex m_mutex;
    std::set<int> m_open;
};

int freePort(const std::string &ip);
std::string answer(int status, const Headers &headers = {}, const std::string &body = {});
std::string request(const std::string &method, const std::string &target, const std::string &id,
                    const Headers &headers = {}, const std::string &body = {});

/// @brief Sends bytes on a new connection and reads one answer. @return nothing if there was none
std::optional<Message> sendAndReceive(const Address &address, const std::string &bytes,
                                      Milliseconds timeout = Milliseconds(6'000));

/// @brief Creates an object that lives until the process ends, as the threads of stand-ins do.
template <typename Object, typename... Arguments>
Object &keep(Arguments &&...arguments)
{
    return *new Object(std::forward<Arguments>(arguments)...);
}

/// @brief Waits for a condition. @throws CouldNotRun after the timeout
void waitUntil(const std::function<bool()> &condition, Milliseconds timeout, const std::string &what);

} // namespace review

#endif // REVIEW_HTTP_HPP
