#include "http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <thread>
#include <utility>

namespace review {

namespace {

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

int boundSocket(const std::string &ip, int &port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = toSocketAddress({ip, 0});
    socklen_t length = sizeof(address);
    if (socket < 0 || ::bind(socket, reinterpret_cast<sockaddr *>(&address), length) != 0
        || ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        throw CouldNotRun("no free port on " + ip);
    }
    port = ntohs(address.sin_port);
    return socket;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char each) {
        return static_cast<char>(std::tolower(each));
    });
    return text;
}

std::string trimmed(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string::npos ? "" : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string word(const std::string &line, int index)
{
    std::size_t from = 0;
    for (; index > 0; --index) {
        const auto space = line.find(' ', from);
        if (space == std::string::npos) {
            return {};
        }
        from = space + 1;
    }
    return line.substr(from, line.find(' ', from) - from);
}

std::string withHeaders(std::string head, const Headers &headers)
{
    for (const auto &[name, value] : headers) {
        head += name + ": " + value + "\r\n";
    }
    return head;
}

} // namespace

std::string Message::header(const std::string &name, const std::string &fallback) const
{
    const auto found = headers.find(lowerCase(name));
    return found == headers.end() ? fallback : found->second;
}

int Message::status() const
{
    return std::atoi(word(start, 1).c_str());
}

std::string Message::method() const
{
    return word(start, 0);
}

std::string Message::target() const
{
    return word(start, 1);
}

Connection::Connection(int socket)
    : m_socket(socket)
{
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection()
{
    ::close(m_socket);
}

std::unique_ptr<Connection> Connection::open(const Address &address, Milliseconds timeout)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (socket < 0) {
        throw CouldNotRun("the stand-ins have no descriptors left");
    }
    auto connection = std::make_unique<Connection>(socket);
    const sockaddr_in target = toSocketAddress(address);
    ::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
    pollfd wait{socket, POLLOUT, 0};
    int error = 0;
    socklen_t length = sizeof(error);
    if (::poll(&wait, 1, static_cast<int>(timeout.count())) != 1
        || ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
        return nullptr;
    }
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    return connection;
}

void Connection::setTimeout(Milliseconds timeout)
{
    const timeval value{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
}

bool Connection::write(const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::readMore()
{
    char bytes[16 << 10];
    const ssize_t count = ::recv(m_socket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Connection::readLine()
{
    auto end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!readMore()) {
            return std::nullopt;
        }
        end = m_buffer.find("\r\n");
    }
    const std::string line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return line;
}

bool Connection::readBytes(std::size_t count, std::string &bytes)
{
    while (m_buffer.size() < count) {
        if (!readMore()) {
            return false;
        }
    }
    bytes.append(m_buffer, 0, count);
    m_buffer.erase(0, count);
    return true;
}

std::optional<Message> Connection::readHead()
{
    Message message;
    const auto start = readLine();
    if (!start) {
        return std::nullopt;
    }
    message.start = *start;
    while (true) {
        const auto line = readLine();
        if (!line) {
            return std::nullopt;
        }
        if (line->empty()) {
            return message;
        }
        const auto colon = line->find(':');
        if (colon != std::string::npos) {
            message.headers[lowerCase(line->substr(0, colon))] = trimmed(line->substr(colon + 1));
        }
    }
}

bool Connection::readBody(Message &message, bool isRequest)
{
    if (lowerCase(message.header("transfer-encoding")) == "chunked") {
        while (true) {
            const auto line = readLine();
            const std::size_t size = line ? std::strtoul(line->c_str(), nullptr, 16) : 0;
            if (!line || !readBytes(size, message.body)) {
                return false;
            }
            std::string end;
            if (size == 0) {
                const auto last = readLine();
                return last && last->empty();
            }
            if (!readBytes(2, end)) {
                return false;
            }
        }
    }
    const std::string length = message.header("content-length");
    if (!length.empty()) {
        return readBytes(std::strtoul(length.c_str(), nullptr, 10), message.body);
    }
    if (!isRequest) {
        while (readMore()) {
        }
        message.body = std::exchange(m_buffer, {});
    }
    return true;
}

std::optional<Message> Connection::readRequest()
{
    auto message = readHead();
    return message && readBody(*message, true) ? message : std::nullopt;
}

std::optional<Message> Connection::readAnswer()
{
    auto message = readHead();
    return message && readBody(*message, false) ? message : std::nullopt;
}

void Connection::waitForEnd()
{
    while (readMore()) {
        m_buffer.clear();
    }
}

int Connection::socket() const
{
    return m_socket;
}

Listener::Listener(const std::string &ip, Handler handler)
    : m_handler(std::move(handler))
{
    m_address.ip = ip;
    m_socket = boundSocket(ip, m_address.port);
    constexpr int Backlog = 512;
    if (::listen(m_socket, Backlog) != 0) {
        throw CouldNotRun("cannot listen on " + m_address.text());
    }
    std::thread([this]() {
        accept();
    }).detach();
}

const Address &Listener::address() const
{
    return m_address;
}

void Listener::accept()
{
    while (!m_isEnded) {
        const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        {
            const std::lock_guard lock(m_mutex);
            if (m_isEnded) {
                ::close(socket);
                break;
            }
            m_open.insert(socket);
        }
        std::thread([this, socket]() {
            Connection connection(socket);
            m_handler(connection);
            const std::lock_guard lock(m_mutex);
            m_open.erase(socket);
        }).detach();
    }
    ::close(m_socket);
}

void Listener::end()
{
    const std::lock_guard lock(m_mutex);
    m_isEnded = true;
    ::shutdown(m_socket, SHUT_RDWR);
    for (const int socket : m_open) {
        ::shutdown(socket, SHUT_RDWR);
    }
}

int freePort(const std::string &ip)
{
    int port = 0;
    ::close(boundSocket(ip, port));
    return port;
}

std::string answer(int status, const Headers &headers, const std::string &body)
{
    const std::map<int, std::string> reasons = {{200, "OK"},
                                                {404, "Not Found"},
                                                {409, "Conflict"},
                                                {410, "Gone"},
                                                {412, "Precondition Failed"},
                                                {421, "Misdirected Request"},
                                                {503, "Service Unavailable"}};
    const std::string start = "HTTP/1.1 " + std::to_string(status) + " " + reasons.at(status) + "\r\n";
    return withHeaders(start, headers) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string request(const std::string &method, const std::string &target, const std::string &id, const Headers &headers,
                    const std::string &body)
{
    const std::string start = method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Snipevalve-Request-Id: " + id
        + "\r\nX-Snipevalve-Request-Deadline: 4000\r\n";
    return withHeaders(start, headers) + "\r\n" + body;
}

std::optional<Message> sendAndReceive(const Address &address, const std::string &bytes, Milliseconds timeout)
{
    constexpr Milliseconds ConnectTimeout(1'000);
    const auto connection = Connection::open(address, ConnectTimeout);
    if (!connection) {
        return std::nullopt;
    }
    connection->setTimeout(timeout);
    return connection->write(bytes) ? connection->readAnswer() : std::nullopt;
}

void waitUntil(const std::function<bool()> &condition, Milliseconds timeout, const std::string &what)
{
    const auto end = Clock::now() + timeout;
    while (!condition()) {
        if (Clock::now() >= end) {
            throw CouldNotRun("timed out waiting until " + what);
        }
        std::this_thread::sleep_for(Milliseconds(100));
    }
}

} // namespace review
