#ifndef SNIPEVALVE_NET_BYTE_BLOCKS_HPP
#define SNIPEVALVE_NET_BYTE_BLOCKS_HPP

#include <memory>
#include <vector>

#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief Bytes in blocks that never move.
///
/// A std::string that grows holds its bytes twice while it moves them, and up to as much again in reserve.
class ByteBlocks
{
public:
    void append(asio::const_buffer bytes);
    void clear();

    std::size_t size() const;

    /// @return the memory of all blocks
    std::size_t capacity() const;

    /// @return capacity() after so many more bytes
    std::size_t capacityWith(std::size_t moreBytes) const;

    std::size_t blocks() const;
    asio::const_buffer block(std::size_t index) const;

    static constexpr std::size_t FirstBlockBytes = 4 << 10;
    static constexpr std::size_t MaxBlockBytes = 64 << 10;

private:
    struct Block
    {
        std::unique_ptr<char[]> bytes;
        std::size_t size = 0;
        std::size_t capacity = 0;
    };

    static std::size_t nextBlockBytes(std::size_t capacity);

    std::vector<Block> m_blocks;
    std::size_t m_size = 0;
    std::size_t m_capacity = 0;
};

/// @brief A message body that is received into blocks, without allocating a Content-Length in advance.
struct BlockBody
{
    using value_type = ByteBlocks;

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
                m_body.append(buffer);
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

/// @brief A message body that is sent from shared blocks, one block after the other.
struct SharedBlockBody
{
    using value_type = std::shared_ptr<const ByteBlocks>;

    static std::uint64_t size(const value_type &body)
    {
        return body->size();
    }

    class writer // NOLINT(readability-identifier-naming): the name is Beast's
    {
    public:
        using const_buffers_type = asio::const_buffer; // NOLINT(readability-identifier-naming)

        template <bool IsRequest, class Fields>
        writer(const http::header<IsRequest, Fields> & /*header*/, const value_type &body)
            : m_body(*body)
        {
        }

        void init(ErrorCode &error)
        {
            error = {};
        }

        boost::optional<std::pair<const_buffers_type, bool>> get(ErrorCode &error)
        {
            error = {};
            if (m_next >= m_body.blocks()) {
                return boost::none;
            }
            const asio::const_buffer bytes = m_body.block(m_next);
            ++m_next;
            return std::make_pair(bytes, m_next < m_body.blocks());
        }

    private:
        const ByteBlocks &m_body;
        std::size_t m_next = 0;
    };
};

} // namespace snipevalve

#endif // SNIPEVALVE_NET_BYTE_BLOCKS_HPP
