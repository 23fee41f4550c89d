#include "snipevalve/net/byte_blocks.hpp"

#include <algorithm>
#include <cstring>

namespace snipevalve {

/// Each block doubles what there is, up to the largest size, so that small bodies take little more than their bytes.
std::size_t ByteBlocks::nextBlockBytes(std::size_t capacity)
{
    return std::clamp(capacity, FirstBlockBytes, MaxBlockBytes);
}

void ByteBlocks::append(asio::const_buffer bytes)
{
    const auto *data = static_cast<const char *>(bytes.data());
    std::size_t left = bytes.size();
    while (left > 0) {
        if (m_blocks.empty() || m_blocks.back().size == m_blocks.back().capacity) {
            const std::size_t capacity = nextBlockBytes(m_capacity);
            m_blocks.push_back({std::unique_ptr<char[]>(new char[capacity]), 0, capacity});
            m_capacity += capacity;
        }
        Block &block = m_blocks.back();
        const std::size_t count = std::min(left, block.capacity - block.size);
        std::memcpy(block.bytes.get() + block.size, data, count);
        block.size += count;
        m_size += count;
        data += count;
        left -= count;
    }
}

void ByteBlocks::clear()
{
    m_blocks.clear();
    m_blocks.shrink_to_fit();
    m_size = 0;
    m_capacity = 0;
}

std::size_t ByteBlocks::size() const
{
    return m_size;
}

std::size_t ByteBlocks::capacity() const
{
    return m_capacity;
}

std::size_t ByteBlocks::capacityWith(std::size_t moreBytes) const
{
    std::size_t capacity = m_capacity;
    while (capacity < m_size + moreBytes) {
        capacity += nextBlockBytes(capacity);
    }
    return capacity;
}

std::size_t ByteBlocks::blocks() const
{
    return m_blocks.size();
}

asio::const_buffer ByteBlocks::block(std::size_t index) const
{
    return {m_blocks[index].bytes.get(), m_blocks[index].size};
}

} // namespace snipevalve
