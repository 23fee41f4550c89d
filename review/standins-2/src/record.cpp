#include "record.hpp"

#include <cstdio>
#include <cstdlib>

namespace review {

Record::Record(const std::string &path)
    : m_file(path)
{
    if (!m_file) {
        throw CouldNotRun("cannot write " + path);
    }
}

void Record::add(const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", std::chrono::duration<double>(Clock::now() - m_start).count());
    const std::lock_guard lock(m_mutex);
    m_file << time << line << std::endl;
}

Milliseconds Record::now() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start);
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review
