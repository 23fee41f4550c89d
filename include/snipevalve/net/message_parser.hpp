#ifndef SNIPEVALVE_NET_MESSAGE_PARSER_HPP
#define SNIPEVALVE_NET_MESSAGE_PARSER_HPP

#include <limits>
#include <string>

#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief Maximum size of the buffer for received bytes that are not parsed yet. A chunk's header and the trailers have
/// to fit; reading more ends with http::error::buffer_overflow.
inline constexpr std::size_t MaxUnparsedBytes = 64 << 10;

/// @brief A message body in memory that grows as it arrives. http::string_body instead allocates the whole
/// Content-Length in advance, whatever the peer names there.
struct ReceivedBody
{
    using value_type = std::string;

    class reader // NOLINT(readability-identifier-naming): the name is Beast's
    {
    public:
        template <bool IsRequest, class Fields>
        reader(http::header<IsRequest, Fields> & /*header*/, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> & /*length*/, ErrorCode &error)
        {
            error = {};
        }

        template <class ConstBufferSequence>
        std::size_t put(const ConstBufferSequence &buffers, ErrorCode &error)
        {
            error = {};
            std::size_t size = 0;
            for (const asio::const_buffer buffer : beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            return size;
        }

        void finish(ErrorCode &error)
        {
            error = {};
        }

    private:
        value_type &m_body;
    };
};

/// @brief A parser that reports every error of the peer as an error code.
///
/// http::parser throws on a field that http::fields can't hold. An exception in the middle of an asynchronous read
/// reaches the thread, not the coroutine that waits for the read. Trailers are discarded, since they may not change
/// what the header says (RFC 9110, section 6.5.1).
template <bool IsRequest, typename Body>
class MessageParser : public http::parser<IsRequest, Body>
{
private:
    /// http::fields stores the lengths of a name and of a value, with two more bytes each, in 16 bits.
    static constexpr std::size_t MaxFieldBytes = std::numeric_limits<std::uint16_t>::max() - 2;

    void on_field_impl(http::field name, beast::string_view nameText, beast::string_view value,
                       ErrorCode &error) override
    {
        const bool isTrailer = this->is_header_done();
        if (isTrailer) {
            return;
        }
        if (nameText.size() > MaxFieldBytes || value.size() > MaxFieldBytes) {
            error = http::error::header_limit;
            return;
        }
        this->get().insert(name, nameText, value);
    }
};

/// @brief Reads a whole message into `parser`.
///
/// Reads the header first: an eager parser of Boost 1.74 overlooks that the Content-Length exceeds the body limit when
/// the body arrives together with the header.
template <bool IsRequest>
Awaitable<void> readMessage(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                            MessageParser<IsRequest, ReceivedBody> &parser, ErrorCode &error)
{
    co_await http::async_read_header(stream, buffer, parser, awaitInto(error));
    if (!error && !parser.is_done()) {
        co_await http::async_read(stream, buffer, parser, awaitInto(error));
    }
}

} // namespace snipevalve

#endif // SNIPEVALVE_NET_MESSAGE_PARSER_HPP
