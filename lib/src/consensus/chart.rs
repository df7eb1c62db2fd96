//! The state chart of the roles: the names in its file, and the chart itself.

use std::sync::LazyLock;

use crate::{
    chart::{Chart, Vocabulary},
    consensus::{message::Body, port::Event},
    finding::Findings,
    symbols,
};

symbols! {
    /// The part that an instance plays in the council.
    pub enum Role {
        /// Votes, and follows a leader.
        Follower = "follower",
        /// Asks whether it would win an election.
        PreCandidate = "pre_candidate",
        /// Stands for election.
        Candidate = "candidate",
        /// Orders the log.
        Leader = "leader",
        /// Follows the log without a vote.
        Learner = "learner",
    }

    /// What moves the chart.
    pub enum Trigger {
        /// The process started.
        Start = "start",
        /// A deadline may have come.
        Timer = "timer",
        /// A message came from a newer term.
        HigherTerm = "higher_term",
        /// A request for a vote came from a newer term.
        HigherVote = "higher_vote",
        /// A message came from an older term.
        StaleTerm = "stale_term",
        /// A request for a pre-vote.
        PreVote = "pre_vote",
        /// The answer to it.
        PreVoteAnswer = "pre_vote_answer",
        /// A request for a vote.
        Vote = "vote",
        /// The answer to it.
        VoteAnswer = "vote_answer",
        /// A vote or pre-vote was counted.
        Tally = "tally",
        /// Entries or a heartbeat.
        Append = "append",
        /// The answer to them.
        AppendAnswer = "append_answer",
        /// A part of a snapshot.
        SnapshotChunk = "snapshot_chunk",
        /// The answer to it.
        SnapshotAnswer = "snapshot_answer",
        /// Another instance's read.
        ReadIndex = "read_index",
        /// The answer to a forwarded read.
        ReadAnswer = "read_answer",
        /// A proposal.
        Propose = "propose",
        /// A read.
        Read = "read",
        /// A write was synced.
        Stored = "stored",
        /// The ledger gave its state.
        Compacted = "compacted",
        /// A change of the members is wanted.
        Change = "change",
        /// The instances that may become voters are known.
        Standbys = "standbys",
        /// The members in force changed, or were committed.
        Members = "members",
    }

    /// What a rule of the chart may ask.
    pub enum Guard {
        /// This instance votes.
        Voter = "voter",
        /// The role's deadline has come.
        Due = "due",
        /// A quorum gave its votes or pre-votes.
        Won = "won",
        /// A quorum answered within an election timeout.
        QuorumHeard = "quorum_heard",
        /// Storage has synced nothing for an election timeout although writes wait.
        Stalled = "stalled",
        /// A leader was heard within an election timeout.
        LeaderAlive = "leader_alive",
        /// The leader is known.
        LeaderKnown = "leader_known",
        /// One more proposal fits.
        Room = "room",
        /// The members in force are committed.
        MembersCommitted = "members_committed",
    }

    /// What a rule of the chart may do.
    pub enum Action {
        /// Draw a new election timeout and wait for it.
        Wait = "wait",
        /// Fail what waits for this leader.
        Resign = "resign",
        /// Take over a message's newer term.
        AdoptTerm = "adopt_term",
        /// Tell the sender that its term is over.
        RefuseStale = "refuse_stale",
        /// Ask the voters for pre-votes.
        AskPreVotes = "ask_pre_votes",
        /// Open a new term and ask the voters for votes.
        AskVotes = "ask_votes",
        /// Forget a leader that isn't heard.
        ForgetLeader = "forget_leader",
        /// Answer a request for a pre-vote.
        AnswerPreVote = "answer_pre_vote",
        /// Count a pre-vote.
        CountPreVote = "count_pre_vote",
        /// Answer a request for a vote.
        AnswerVote = "answer_vote",
        /// Count a vote.
        CountVote = "count_vote",
        /// Count the own vote, which is synced now.
        CountOwnVote = "count_own_vote",
        /// Begin to lead.
        Lead = "lead",
        /// Note that the leader was heard.
        Follow = "follow",
        /// Take a leader's entries.
        Append = "append",
        /// Take a part of a snapshot.
        ReceiveChunk = "receive_chunk",
        /// Tell the leader what is synced.
        Acknowledge = "acknowledge",
        /// Send a round of heartbeats.
        Heartbeat = "heartbeat",
        /// Note a follower's answer and send what it lacks.
        AdvancePeer = "advance_peer",
        /// Send the next part of a snapshot.
        AdvanceTransfer = "advance_transfer",
        /// Commit what a quorum has synced.
        Commit = "commit",
        /// Answer the reads whose round a quorum has answered.
        FinishReads = "finish_reads",
        /// Queue a proposal.
        QueueProposal = "queue_proposal",
        /// Append queued proposals in one write.
        AppendPending = "append_pending",
        /// Refuse a proposal.
        RefuseProposal = "refuse_proposal",
        /// Queue a read for the next round.
        QueueRead = "queue_read",
        /// Pass a read to the leader.
        ForwardRead = "forward_read",
        /// Refuse a read.
        RefuseRead = "refuse_read",
        /// Take the answer to a forwarded read.
        FinishForwarded = "finish_forwarded",
        /// Queue a change of the members.
        QueueChange = "queue_change",
        /// Propose the next change of the members, if one is due.
        ChangeMembers = "change_members",
        /// Track the members in force.
        FollowMembers = "follow_members",
        /// Cut the log behind a new snapshot.
        Compact = "compact",
        /// Note the instances that may become voters.
        SetStandbys = "set_standbys",
    }
}

/// The chart of the council's roles.
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

/// Loads the chart that is built into the program.
///
/// # Errors
///
/// Everything that is wrong in the file, with places.
pub fn parse() -> Result<RoleChart, Findings> {
    let text = include_str!("../../../charts/consensus.jsonc");
    RoleChart::parse("charts/consensus.jsonc", text, &VOCABULARY)
}

/// The chart, loaded once.
pub(super) fn chart() -> &'static RoleChart {
    &CHART
}

impl Trigger {
    /// What an event does to the chart, once its term was compared.
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
            | Event::RemoveMember { .. } => Self::Change,
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
