#include "snipevalve/ownership/key_exits.hpp"

#include <algorithm>
#include <tuple>

namespace snipevalve {

namespace {

/// What each key counts in addition to its load, in busy slots, so that keys without load are spread too.
constexpr double KeyWeight = 1e-4;
/// Lower limit of a server's capacity, against a division by zero.
constexpr double MinCapacity = 0.05;

/// A rest with less than this share of a piece's weight stays with its neighbour: a range costs its leader a call each
/// 1.8 s.
constexpr double MinPieceShare = 0.25;

/// Adjacent keys that move together.
struct Piece
{
    KeyRange keys;
    std::string owner;
    double weight = 0;
};

double weightOf(const KeyRange &keys, const std::vector<float> &loads)
{
    double weight = 0;
    for (std::uint32_t key = keys.from; key <= keys.to; ++key) {
        weight += loads[key] + KeyWeight;
    }
    return weight;
}

/// Cuts the range into pieces of about the weight; a heavier key is a piece of its own, and a light rest is none.
void cut(const OwnedRange &range, const std::vector<float> &loads, double maxWeight, std::vector<Piece> &pieces)
{
    const std::size_t first = pieces.size();
    Piece piece;
    for (std::uint32_t key = range.keys.from; key <= range.keys.to; ++key) {
        const double weight = loads[key] + KeyWeight;
        const auto at = static_cast<std::uint16_t>(key);
        if (piece.weight > 0 && piece.weight + weight > maxWeight) {
            pieces.push_back(std::move(piece));
            piece = {};
        }
        if (piece.weight <= 0) {
            piece = {{at, at}, range.owner, 0};
        }
        piece.keys.to = at;
        piece.weight += weight;
    }
    if (pieces.size() > first && piece.weight < MinPieceShare * maxWeight) {
        pieces.back().keys.to = piece.keys.to;
        pieces.back().weight += piece.weight;
        return;
    }
    pieces.push_back(std::move(piece));
}

} // namespace

std::vector<KeyMove> planKeyExits(const std::vector<OwnedRange> &leaving, const std::vector<OwnedRange> &staying,
                                  const std::vector<float> &loads, const std::map<std::string, double> &capacities,
                                  const RecentOwners &recent)
{
    if (capacities.empty()) {
        return {};
    }
    std::map<std::string, double> weights;
    for (const OwnedRange &range : staying) {
        weights[range.owner] += weightOf(range.keys, loads);
    }
    double leavingWeight = 0;
    for (const OwnedRange &range : leaving) {
        leavingWeight += weightOf(range.keys, loads);
    }
    std::vector<Piece> pieces;
    for (const OwnedRange &range : leaving) {
        cut(range, loads, leavingWeight / static_cast<double>(capacities.size()), pieces);
    }
    std::stable_sort(pieces.begin(), pieces.end(), [](const Piece &left, const Piece &right) {
        return left.weight > right.weight;
    });
    std::vector<KeyMove> moves;
    for (const Piece &piece : pieces) {
        const std::string *best = nullptr;
        std::tuple<bool, double> bestRank;
        for (const auto &[id, capacity] : capacities) {
            const double utilisation = (weights[id] + piece.weight) / std::max(capacity, MinCapacity);
            const std::tuple<bool, double> rank(recent.contains(piece.keys, id), utilisation);
            if (best == nullptr || rank < bestRank) {
                best = &id;
                bestRank = rank;
            }
        }
        weights[*best] += piece.weight;
        moves.push_back({piece.keys, piece.owner, *best});
    }
    return moves;
}

} // namespace snipevalve
