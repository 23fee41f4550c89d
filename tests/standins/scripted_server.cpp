#include "scripted_server.hpp"

#include <limits>

#include "snipevalve/net/http_server.hpp"

namespace snipevalve::standins {

ScriptedServer::ScriptedServer(const Endpoint &listen)
    : m_acceptor(listenOn(m_context.get_executor(), listen))
{
    asio::co_spawn(m_context, accept(), asio::detached);
    m_thread = std::thread([this]() {
        m_context.run();
    });
}

ScriptedServer::~ScriptedServer()
{
    m_context.stop();
    m_thread.join();
}

void ScriptedServer::setScript(Script script)
{
    const std::lock_guard lock(m_mutex);
    m_script = std::move(script);
}

void ScriptedServer::setAnswersHeads(bool answersHeads)
{
    m_answersHeads = answersHeads;
}

Endpoint ScriptedServer::endpoint() const
{
    const Tcp::endpoint local = m_acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

int ScriptedServer::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

int ScriptedServer::connections() const
{
    const std::lock_guard lock(m_mutex);
    return m_connections;
}

ScriptedReply ScriptedServer::replyTo(const std::string &id)
{
    ScriptedReply reply;
    if (id.empty()) {
        reply.start = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        return reply;
    }
    const std::lock_guard lock(m_mutex);
    ++m_requests;
    return m_script ? m_script(id) : reply;
}

Awaitable<void> ScriptedServer::accept()
{
    while (true) {
        ErrorCode error;
        auto socket = std::make_shared<Tcp::socket>(m_context);
        co_await m_acceptor.async_accept(*socket, awaitInto(error));
        if (error) {
            co_return;
        }
        {
            const std::lock_guard lock(m_mutex);
            ++m_connections;
        }
        asio::co_spawn(m_context, serve(socket), asio::detached);
    }
}

Awaitable<void> ScriptedServer::serve(std::shared_ptr<Tcp::socket> socket)
{
    ErrorCode error;
    beast::flat_buffer buffer;
    while (!error) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        if (m_answersHeads) {
            co_await http::async_read_header(*socket, buffer, parser, awaitInto(error));
        } else {
            co_await http::async_read(*socket, buffer, parser, awaitInto(error));
        }
        if (error) {
            break;
        }
        const ScriptedReply reply = replyTo(std::string(parser.get()["X-Snipevalve-Request-Id"]));
        co_await asio::async_write(*socket, asio::buffer(reply.start), awaitInto(error));
        for (std::size_t time = 0; time < reply.times && !error; ++time) {
            co_await asio::async_write(*socket, asio::buffer(reply.repeated), awaitInto(error));
        }
        co_await asio::async_write(*socket, asio::buffer(reply.end), awaitInto(error));
        if (!reply.late.empty()) {
            asio::steady_timer timer(m_context, reply.lateAfter);
            co_await timer.async_wait(awaitInto(error));
            co_await asio::async_write(*socket, asio::buffer(reply.late), awaitInto(error));
        }
        if (reply.finish == ScriptedReply::Finish::Reset) {
            socket->set_option(asio::socket_base::linger(true, 0), error);
            socket->close(error); // explicit, because the destructor would clear the linger option
        }
        if (reply.finish != ScriptedReply::Finish::Keep) {
            break;
        }
    }
}

} // namespace snipevalve::standins
