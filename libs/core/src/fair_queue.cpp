#include <barleyfork/core/fair_queue.hpp>

#include <algorithm>

namespace barleyfork {

fair_queue::fair_queue(std::size_t max_size) : max_size_(max_size) {}

fair_queue::push_result fair_queue::push(const organisation_id& owner,
                                         std::uint32_t weight)
{
    push_result result;
    if (max_size_ == 0)
        return result;
    auto& queue = queues_[owner];
    queue.weight = std::max(1U, weight);
    if (queue.waiting.empty())
        queue.virtual_time = std::max(queue.virtual_time, virtual_now_);
    const auto ticket = queue_ticket{next_ticket_++};
    queue.waiting.push_back(ticket);
    ++size_;
    result.ticket = ticket;
    if (size_ <= max_size_)
        return result;
    auto longest = find_longest_by_weight();
    const auto displaced = longest->second.waiting.back();
    longest->second.waiting.pop_back();
    --size_;
    if (displaced == ticket)
        result.ticket.reset();
    else
        result.displaced = displaced;
    return result;
}

std::optional<queue_ticket> fair_queue::pop()
{
    auto best = queues_.end();
    for (auto entry = queues_.begin(); entry != queues_.end(); ++entry) {
        if (entry->second.waiting.empty())
            continue;
        if (best == queues_.end() ||
            entry->second.virtual_time < best->second.virtual_time)
            best = entry;
    }
    if (best == queues_.end()) {
        queues_.clear();
        return std::nullopt;
    }
    auto& queue = best->second;
    const auto ticket = queue.waiting.front();
    queue.waiting.pop_front();
    --size_;
    virtual_now_ = queue.virtual_time;
    queue.virtual_time += 1.0 / queue.weight;
    return ticket;
}

void fair_queue::remove(queue_ticket ticket)
{
    for (auto& [owner, queue] : queues_) {
        const auto found =
            std::find(queue.waiting.begin(), queue.waiting.end(), ticket);
        if (found == queue.waiting.end())
            continue;
        queue.waiting.erase(found);
        --size_;
        return;
    }
}

fair_queue::queue_map::iterator fair_queue::find_longest_by_weight()
{
    return std::max_element(
        queues_.begin(), queues_.end(), [](const auto& a, const auto& b) {
            const auto share = [](const organisation_queue& queue) {
                return static_cast<double>(queue.waiting.size()) / queue.weight;
            };
            return share(a.second) < share(b.second);
        });
}

} // namespace barleyfork
