#include "source/consensus/replicator.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace fulmarrock {

Replicator::Replicator(const ConsensusOptions& options,
                       Transport& transport,
                       const Clock& clock,
                       const EntryLog& log,
                       const SnapshotArchive& archive,
                       Counters& counters)
    : m_options(options),
      m_transport(transport),
      m_clock(clock),
      m_log(log),
      m_archive(archive),
      m_counters(counters),
      m_resend_timeout(options.heartbeat * 4) {}

void Replicator::Start(Term term) {
  m_term = term;
  m_peers.clear();
  UpdatePeers();
}

void Replicator::UpdatePeers() {
  std::map<NodeId, Peer> peers;
  for (const Member& member : m_log.members().members()) {
    if (member.node == m_options.node)
      continue;
    const auto it = m_peers.find(member.node);
    if (it != m_peers.end() && (it->second.incarnation == 0 ||
                                it->second.incarnation == member.incarnation)) {
      it->second.incarnation = member.incarnation;
      peers.insert(std::move(*it));
      continue;
    }
    Peer& peer = peers[member.node];
    peer.incarnation = member.incarnation;
    peer.next = m_log.last_index() + 1;
    peer.acked_send_time = m_clock.Now();
    peer.last_reply_time = m_clock.Now();
  }
  m_peers = std::move(peers);
}

void Replicator::SendEntries() {
  for (auto& [node, peer] : m_peers)
    SendEntriesTo(node, peer);
}

void Replicator::OnTick() {
  const Millis now = m_clock.Now();
  for (auto& [node, peer] : m_peers) {
    if (peer.mode == Mode::kReplicate && !peer.in_flight.empty() &&
        now - peer.last_reply_time >= m_resend_timeout) {
      m_counters.Add("append_timeouts");
      Probe(node, peer, peer.match + 1);
    }
    if (peer.mode == Mode::kSnapshot &&
        now - peer.last_chunk_sent >= m_resend_timeout)
      SendChunk(node, peer);
    if (now - peer.last_sent >= m_options.heartbeat)
      SendHeartbeat(node, peer);
  }
}

void Replicator::OnAppendReply(const NodeId& from, const AppendReply& reply) {
  const auto it = m_peers.find(from);
  if (it == m_peers.end())
    return;
  Peer& peer = it->second;
  const Millis now = m_clock.Now();
  // The round is the time of sending by the leader's clock.
  const Millis sent(static_cast<int64_t>(reply.round));
  if (sent <= now)
    peer.acked_send_time = std::max(peer.acked_send_time, sent);
  peer.last_reply_time = now;
  if (reply.match_index > m_log.last_index() && reply.is_success)
    return;
  if (reply.is_success)
    OnSuccess(from, peer, reply.match_index);
  else
    OnMismatch(from, peer, reply.match_index);
}

void Replicator::OnSnapshotAck(const NodeId& from, const SnapshotAck& ack) {
  const auto it = m_peers.find(from);
  if (it == m_peers.end())
    return;
  Peer& peer = it->second;
  if (peer.mode != Mode::kSnapshot || ack.snapshot_index != peer.transfer_index)
    return;
  peer.last_reply_time = m_clock.Now();
  if (ack.is_installed) {
    OnSuccess(from, peer, ack.snapshot_index);
  } else if (ack.next_offset != peer.transfer_offset) {
    peer.transfer_offset = ack.next_offset;
    SendChunk(from, peer);
  }
}

LogIndex Replicator::QuorumIndex(LogIndex own_index) const {
  std::vector<LogIndex> indices;
  for (const Member& member : m_log.members().members()) {
    if (!member.is_voter)
      continue;
    indices.push_back(member.node == m_options.node ? own_index
                                                    : MatchOf(member.node));
  }
  if (indices.empty())
    return 0;
  std::sort(indices.begin(), indices.end(), std::greater<>());
  return indices[indices.size() / 2];
}

bool Replicator::AllStored(LogIndex index) const {
  return std::all_of(m_peers.begin(), m_peers.end(), [index](const auto& item) {
    return item.second.match >= index;
  });
}

Millis Replicator::QuorumAckedSendTime() const {
  std::vector<Millis> acked_send_times;
  for (const Member& member : m_log.members().members()) {
    if (!member.is_voter)
      continue;
    const auto it = m_peers.find(member.node);
    acked_send_times.push_back(
        it == m_peers.end() ? m_clock.Now() : it->second.acked_send_time);
  }
  if (acked_send_times.empty())
    return Millis(0);
  std::sort(acked_send_times.begin(), acked_send_times.end(), std::greater<>());
  return acked_send_times[acked_send_times.size() / 2];
}

LogIndex Replicator::MatchOf(const NodeId& node) const {
  const auto it = m_peers.find(node);
  return it == m_peers.end() ? 0 : it->second.match;
}

Millis Replicator::TimeSinceReply(const NodeId& node) const {
  const auto it = m_peers.find(node);
  return it == m_peers.end() ? Millis(0)
                             : m_clock.Now() - it->second.last_reply_time;
}

bool Replicator::IsCaughtUp(const NodeId& node) const {
  const auto it = m_peers.find(node);
  return it != m_peers.end() && it->second.match >= m_commit_index &&
         m_clock.Now() - it->second.acked_send_time < m_resend_timeout;
}

bool Replicator::IsSendingSnapshot() const {
  const Millis now = m_clock.Now();
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& item) {
    return item.second.mode == Mode::kSnapshot &&
           now - item.second.last_reply_time < m_resend_timeout * 2;
  });
}

void Replicator::SendEntriesTo(const NodeId& node, Peer& peer) {
  if (peer.mode != Mode::kReplicate)
    return;
  if (peer.next <= m_log.base_index()) {
    SendChunk(node, peer);
    return;
  }
  while (peer.next <= m_log.last_index() &&
         peer.in_flight_bytes < m_options.max_in_flight_bytes) {
    AppendRequest request;
    request.previous_index = peer.next - 1;
    size_t bytes = 0;
    while (peer.next <= m_log.last_index()) {
      const LogEntry& entry = m_log.At(peer.next);
      const size_t size = EntryLog::SizeOf(entry);
      if (bytes > 0 && bytes + size > m_options.max_message_bytes)
        break;
      bytes += size;
      request.entries.push_back(entry);
      ++peer.next;
    }
    if (peer.in_flight.empty())
      peer.last_reply_time = m_clock.Now();
    peer.in_flight.push_back({peer.next - 1, bytes});
    peer.in_flight_bytes += bytes;
    SendAppend(node, peer, std::move(request));
  }
}

void Replicator::SendHeartbeat(const NodeId& node, Peer& peer) {
  if (peer.mode != Mode::kSnapshot && peer.next <= m_log.base_index())
    SendChunk(node, peer);
  AppendRequest request;
  request.previous_index =
      peer.mode == Mode::kSnapshot ? m_log.last_index() : peer.next - 1;
  // Followers take an empty request for the start of the log to mean that the
  // leader has no entries, so a probe of the start carries the first entry.
  if (peer.mode == Mode::kProbe && peer.next == 1 && m_log.last_index() > 0)
    request.entries.push_back(m_log.At(1));
  SendAppend(node, peer, std::move(request));
}

void Replicator::SendAppend(const NodeId& node,
                            Peer& peer,
                            AppendRequest request) {
  const Millis now = m_clock.Now();
  request.term = m_term;
  request.previous_term = m_log.TermAt(request.previous_index);
  request.commit_index = m_commit_index;
  request.round = static_cast<uint64_t>(now.count());
  peer.last_sent = now;
  m_transport.Send(node, Message(std::move(request)));
}

void Replicator::SendChunk(const NodeId& node, Peer& peer) {
  if (peer.mode != Mode::kSnapshot ||
      peer.transfer_index != m_archive.metadata().index) {
    ClearInFlight(peer);
    peer.mode = Mode::kSnapshot;
    peer.transfer_index = m_archive.metadata().index;
    peer.transfer_offset = 0;
  }
  peer.last_chunk_sent = m_clock.Now();
  Result<SnapshotChunk> chunk =
      m_archive.MakeChunk(peer.transfer_offset, m_options.snapshot_chunk_bytes);
  if (!chunk) {
    m_counters.Add("snapshot_read_errors");
    return;
  }
  chunk->term = m_term;
  m_counters.Add("snapshot_chunks_sent");
  m_transport.Send(node, Message(std::move(*chunk)));
}

void Replicator::Probe(const NodeId& node, Peer& peer, LogIndex next) {
  ClearInFlight(peer);
  peer.mode = Mode::kProbe;
  peer.next = next;
  SendHeartbeat(node, peer);
}

void Replicator::OnSuccess(const NodeId& node, Peer& peer, LogIndex match) {
  peer.match = std::max(peer.match, match);
  while (!peer.in_flight.empty() &&
         peer.in_flight.front().last_index <= peer.match) {
    peer.in_flight_bytes -= peer.in_flight.front().bytes;
    peer.in_flight.pop_front();
  }
  if (peer.mode == Mode::kReplicate) {
    peer.next = std::max(peer.next, peer.match + 1);
  } else if (peer.match >= m_log.base_index()) {
    ClearInFlight(peer);
    peer.mode = Mode::kReplicate;
    peer.next = peer.match + 1;
  }
  SendEntriesTo(node, peer);
}

void Replicator::OnMismatch(const NodeId& node, Peer& peer, LogIndex hint) {
  if (peer.mode == Mode::kSnapshot)
    return;
  // The hint may lie below the match index, because it replies to an old
  // request or because the follower skipped a whole conflicting term.
  const LogIndex next = std::clamp(hint, peer.match, m_log.last_index()) + 1;
  if (peer.mode == Mode::kProbe && next == peer.next)
    return;
  m_counters.Add("append_mismatches");
  Probe(node, peer, next);
}

void Replicator::ClearInFlight(Peer& peer) {
  peer.in_flight.clear();
  peer.in_flight_bytes = 0;
}

}  // namespace fulmarrock
