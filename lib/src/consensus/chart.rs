//! The state chart of the roles: the vocabulary of its file, and the chart itself.

use std::sync::LazyLock;

use crate::{
    chart::{Chart, Vocabulary},
    consensus::{message::Body, port::Event},
    finding::Findings,
    symbols,
};

symbols! {
    /// The role of an instance in the consensus group.
    pub enum Role {
        /// Votes and follows a leader.
        Follower = "follower",
        /// Collects pre-votes to learn whether it could win an election.
        PreCandidate = "pre_candidate",
        /// Stands for election.
        Candidate = "candidate",
        /// Appends proposals to the log and replicates it.
        Leader = "leader",
        /// Receives the log and has no vote.
        Learner = "learner",
    }

    /// A trigger of a transition.
    pub enum Trigger {
        /// The process started.
        Start = "start",
        /// A timer may have expired.
        Timer = "timer",
        /// A message with a newer term arrived.
        HigherTerm = "higher_term",
        /// A vote request with a newer term arrived.
        HigherVote = "higher_vote",
        /// A message with an older term arrived.
        StaleTerm = "stale_term",
        /// A pre-vote request.
        PreVote = "pre_vote",
        /// The answer to a pre-vote request.
        PreVoteAnswer = "pre_vote_answer",
        /// A vote request.
        Vote = "vote",
        /// The answer to a vote request.
        VoteAnswer = "vote_answer",
        /// A vote or pre-vote was counted.
        Tally = "tally",
        /// An append with entries, or a heartbeat.
        Append = "append",
        /// The answer to an append.
        AppendAnswer = "append_answer",
        /// A chunk of a snapshot.
        SnapshotChunk = "snapshot_chunk",
        /// The answer to a snapshot chunk.
        SnapshotAnswer = "snapshot_answer",
        /// A read index request of another instance.
        ReadIndex = "read_index",
        /// The answer to a forwarded read.
        ReadAnswer = "read_answer",
        /// A proposal by this instance.
        Propose = "propose",
        /// A read by this instance.
        Read = "read",
        /// A write was synced.
        Stored = "stored",
        /// The ledger's state was encoded for a snapshot.
        Compacted = "compacted",
        /// A membership change was requested.
        MemberChange = "change",
        /// The list of standbys changed.
        Standbys = "standbys",
        /// The effective members changed, or their entry was committed.
        Members = "members",
    }

    /// A condition of a transition.
    pub enum Guard {
        /// This instance is a voter.
        Voter = "voter",
        /// The role's timer has expired.
        TimerExpired = "timer_expired",
        /// A quorum granted its votes or pre-votes.
        Won = "won",
        /// A quorum has answered within the election timeout.
        QuorumActive = "quorum_active",
        /// Storage has synced nothing for an election timeout although writes are pending.
        Stalled = "stalled",
        /// A leader was heard within the election timeout.
        LeaderAlive = "leader_alive",
        /// The leader is known.
        LeaderKnown = "leader_known",
        /// The proposal queue has room for another proposal.
        HasCapacity = "has_capacity",
        /// The entry with the effective members is committed.
        MembersCommitted = "members_committed",
    }

    /// An action of a transition.
    pub enum Action {
        /// Restart the timer with a new random election timeout.
        ResetTimer = "reset_timer",
        /// Give up leadership and fail pending proposals and reads.
        StepDown = "step_down",
        /// Adopt a message's newer term.
        AdoptTerm = "adopt_term",
        /// Answer a message of an older term, so that its sender learns of the current one.
        RefuseStale = "refuse_stale",
        /// Request pre-votes from the voters.
        AskPreVotes = "ask_pre_votes",
        /// Start a new term and request votes from the voters.
        AskVotes = "ask_votes",
        /// Forget a leader that is no longer heard.
        ForgetLeader = "forget_leader",
        /// Answer a pre-vote request.
        AnswerPreVote = "answer_pre_vote",
        /// Count a pre-vote.
        CountPreVote = "count_pre_vote",
        /// Answer a vote request.
        AnswerVote = "answer_vote",
        /// Count a vote.
        CountVote = "count_vote",
        /// Count the candidate's own vote once it is synced.
        CountOwnVote = "count_own_vote",
        /// Start to lead.
        BecomeLeader = "become_leader",
        /// Record the leader and when it was heard.
        RecordLeader = "record_leader",
        /// Append a leader's entries.
        Append = "append",
        /// Take in a chunk of a snapshot.
        ReceiveChunk = "receive_chunk",
        /// Acknowledge synced entries to the leader.
        Acknowledge = "acknowledge",
        /// Start a heartbeat round.
        Heartbeat = "heartbeat",
        /// Update a follower's progress and send it the entries it lacks.
        AdvancePeer = "advance_peer",
        /// Send the next chunk of a snapshot.
        AdvanceTransfer = "advance_transfer",
        /// Commit the entries that a quorum has synced.
        Commit = "commit",
        /// Answer the reads whose heartbeat round a quorum has answered.
        FinishReads = "finish_reads",
        /// Queue a proposal.
        QueueProposal = "queue_proposal",
        /// Append queued proposals in one write.
        AppendPending = "append_pending",
        /// Reject a proposal.
        RefuseProposal = "refuse_proposal",
        /// Queue a read for the next heartbeat round.
        QueueRead = "queue_read",
        /// Forward a read to the leader.
        ForwardRead = "forward_read",
        /// Fail a read.
        RefuseRead = "refuse_read",
        /// Complete a forwarded read.
        FinishForwarded = "finish_forwarded",
        /// Queue a membership change.
        QueueChange = "queue_change",
        /// Propose the next membership change, if one is possible.
        ChangeMembers = "change_members",
        /// Update the tracked followers to the effective members.
        TrackMembers = "track_members",
        /// Take a snapshot and truncate the log before it.
        Compact = "compact",
        /// Store the list of standbys.
        SetStandbys = "set_standbys",
    }
}

/// The chart of the consensus roles.
pub type RoleChart = Chart<Role, Trigger, Guard, Action>;

const VOCABULARY: Vocabulary<'_, Role, Trigger, Guard, Action> = Vocabulary {
    states: (Role::ALL, Role::NAMES),
    events: (Trigger::ALL, Trigger::NAMES),
    guards: (Guard::ALL, Guard::NAMES),
    actions: (Action::ALL, Action::NAMES),
};

static CHART: LazyLock<RoleChart> = LazyLock::new(|| match parse() {
    Ok(chart) => chart,
    Err(findings) => panic!("{findings}"),
});

/// Parses the chart that is compiled into the program.
///
/// # Errors
///
/// All findings in the file, with their positions.
pub fn parse() -> Result<RoleChart, Findings> {
    let text = include_str!("../../../charts/consensus.jsonc");
    RoleChart::parse("charts/consensus.jsonc", text, &VOCABULARY)
}

/// The parsed chart.
pub(super) fn chart() -> &'static RoleChart {
    &CHART
}

impl Trigger {
    /// The trigger of an event whose term was already compared.
    pub(super) fn of(event: &Event) -> Self {
        match event {
            Event::Timer => Self::Timer,
            Event::Receive { message, .. } => Self::of_body(&message.body),
            Event::Propose { .. } => Self::Propose,
            Event::Read { .. } => Self::Read,
            Event::Stored { .. } => Self::Stored,
            Event::Compacted { .. } => Self::Compacted,
            Event::AddLearner { .. }
            | Event::Promote { .. }
            | Event::ReplaceVoter { .. }
            | Event::Demote { .. }
            | Event::RemoveMember { .. } => Self::MemberChange,
            Event::Standbys { .. } => Self::Standbys,
        }
    }

    fn of_body(body: &Body) -> Self {
        match body {
            Body::PreVote { .. } => Self::PreVote,
            Body::PreVoteAnswer { .. } => Self::PreVoteAnswer,
            Body::Vote { .. } => Self::Vote,
            Body::VoteAnswer { .. } => Self::VoteAnswer,
            Body::Append { .. } => Self::Append,
            Body::AppendAnswer { .. } => Self::AppendAnswer,
            Body::SnapshotChunk { .. } => Self::SnapshotChunk,
            Body::SnapshotAnswer { .. } => Self::SnapshotAnswer,
            Body::ReadIndex { .. } => Self::ReadIndex,
            Body::ReadAnswer { .. } => Self::ReadAnswer,
        }
    }
}
