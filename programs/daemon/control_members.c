/* What the logs and metrics tell about the group of replicas: who votes, how
 * many failures the group tolerates, and each change of the members. */
#include "control.h"
#include "rp_clock.h"

/* A voter that sent no message for this long does not answer. Without a leader
 * every replica asks the voters for a pre-vote at least once in two election
 * timeouts, and each that runs replies. */
#define VOTER_SILENCE_US (3 * RP_ELECTION_TIMEOUT_US)

static const struct rp_replica *
get_replica(const struct control *control)
{
    return RpControlReplica_Replica(control->replica);
}

static const struct rp_replica_member *
member_at(const struct rp_replica *replica, guint position)
{
    return &g_array_index(RpReplica_Members(replica), struct rp_replica_member,
                          position);
}

static const char *
format_address(const struct rp_replica_member *member,
               char out[RP_ENDPOINT_TEXT_MAX])
{
    return RpEndpoint_Format(
        (struct rp_endpoint){.ip = member->ip, .port = member->port}, out);
}

void
RpControl_LogMemberChange(void *user, const struct rp_replica_action *action)
{
    struct control *control = user;
    char address[RP_ENDPOINT_TEXT_MAX];
    int64_t silent_us = action->silent_since
                            ? RpClock_Now() - action->silent_since
                            : 0;

    if (!control->daemon.log) {
        return; /* --create */
    }
    RpLog_Event(control->daemon.log, RP_LOG_INFO, "member_change",
                "change=%s replica=%016" G_GINT64_MODIFIER "x address=%s "
                "name=%s silent_ms=%" G_GINT64_FORMAT,
                RpReplica_ChangeName(action->change), action->member.id,
                format_address(&action->member, address),
                action->member.name.data, silent_us / RP_US_PER_MS);
}

void
RpControl_LogDiskLost(void *user, const struct rp_replica_member *member)
{
    struct control *control = user;
    const struct rp_replica *replica = get_replica(control);
    char address[RP_ENDPOINT_TEXT_MAX];

    RpLog_Event(control->daemon.log, RP_LOG_WARN, "replica_disk_lost",
                "replica=%016" G_GINT64_MODIFIER "x address=%s name=%s "
                "voters=%zu lost=%zu quorum=%zu",
                member->id, format_address(member, address), member->name.data,
                RpReplica_VoterCount(replica),
                RpReplica_LostVoterCount(replica), RpReplica_Quorum(replica));
}

/* Returns a number that changes when the list does. */
static uint64_t
digest_members(const struct rp_replica *replica)
{
    uint64_t digest = RpReplica_Members(replica)->len;

    for (guint i = 0; i < RpReplica_Members(replica)->len; i++) {
        const struct rp_replica_member *member = member_at(replica, i);
        const uint64_t parts[] = {member->id, member->voter, member->ip,
                                  member->port};
        for (size_t j = 0; j < G_N_ELEMENTS(parts); j++) {
            digest = digest * UINT64_C(0x9e3779b97f4a7c15) + parts[j];
        }
    }
    return digest;
}

/* Appends the addresses of the voters, or of the learners, separated by
 * commas; "none" if there are none. */
static void
append_addresses(const struct rp_replica *replica, bool voters, GString *out)
{
    char address[RP_ENDPOINT_TEXT_MAX];
    gsize start = out->len;

    for (guint i = 0; i < RpReplica_Members(replica)->len; i++) {
        const struct rp_replica_member *member = member_at(replica, i);
        if ((member->voter != 0) == voters) {
            g_string_append_printf(out, "%s%s", out->len > start ? "," : "",
                                   format_address(member, address));
        }
    }
    if (out->len == start) {
        g_string_append(out, "none");
    }
}

void
RpControl_LogMembersIfChanged(struct control *control)
{
    const struct rp_replica *replica = get_replica(control);
    uint64_t digest = digest_members(replica);

    if (digest == control->logged_members) {
        return;
    }
    control->logged_members = digest;
    GString *text = g_string_new("voters=");
    append_addresses(replica, true, text);
    g_string_append(text, " learners=");
    append_addresses(replica, false, text);
    RpLog_Event(control->daemon.log, RP_LOG_INFO, "replica_members",
                "%s quorum=%zu last_index=%" G_GUINT64_FORMAT
                " committed=%" G_GUINT64_FORMAT,
                text->str, RpReplica_Quorum(replica),
                RpReplica_LastIndex(replica), RpReplica_CommitIndex(replica));
    g_string_free(text, TRUE);
}

const char *
RpControl_MemberName(const struct control *control,
                     const struct rp_replica_member *member)
{
    const struct rp_name *name;

    if (!member) {
        return "none";
    }
    if (member->id == RpReplica_Id(get_replica(control))) {
        return control->settings.common.name.data;
    }
    name = RpControlLinks_ReplicaName(control->links, member->id);
    return name ? name->data : member->name.data;
}

/* Appends `value` to a list of values separated by commas. */
static void
append_item(GString *list, const char *value)
{
    g_string_append_printf(list, "%s%s", list->len ? "," : "", value);
}

/* The voters that do not answer, as three lists in the same order. */
struct missing_voters {
    GString *who; /* name@address */
    GString *last_heard_ms;
    GString *connected; /* whether the own connection to it is open */
};

static void
append_missing(struct missing_voters *missing, const struct control *control,
               const struct rp_replica_member *member, int64_t now)
{
    int64_t heard_at = RpControlLinks_LastHeard(control->links, member->id);
    char address[RP_ENDPOINT_TEXT_MAX];
    gchar *who = g_strdup_printf("%s@%s",
                                 RpControl_MemberName(control, member),
                                 format_address(member, address));
    gchar *age = heard_at ? g_strdup_printf("%" G_GINT64_FORMAT,
                                            (now - heard_at) / RP_US_PER_MS)
                          : g_strdup("never");

    append_item(missing->who, who);
    append_item(missing->last_heard_ms, age);
    append_item(missing->connected,
                RpControlLinks_IsConnected(control->links, member->id) ? "1"
                                                                       : "0");
    g_free(who);
    g_free(age);
}

/* Returns whether a voter answers. Followers send each other nothing while
 * there is a leader, so the connection to it is enough until it had time to
 * reply to a pre-vote. */
static bool
is_answering(const struct control *control, int64_t now, uint64_t id)
{
    int64_t heard_at = RpControlLinks_LastHeard(control->links, id);

    return RpControlLinks_IsConnected(control->links, id) &&
           ((heard_at && now - heard_at < VOTER_SILENCE_US) ||
            now - control->quorum_lost_at < VOTER_SILENCE_US);
}

/* Appends the voters that do not answer and returns how many do, this replica
 * included. */
static size_t
find_missing(const struct control *control, int64_t now,
             struct missing_voters *missing)
{
    const struct rp_replica *replica = get_replica(control);
    size_t answering = 0;

    for (guint i = 0; i < RpReplica_Members(replica)->len; i++) {
        const struct rp_replica_member *member = member_at(replica, i);
        if (!member->voter) {
            continue;
        }
        if (member->id == RpReplica_Id(replica) ||
            is_answering(control, now, member->id)) {
            answering++;
        }
        else {
            append_missing(missing, control, member, now);
        }
    }
    return answering;
}

void
RpControl_LogLackOfQuorum(struct control *control, int64_t now)
{
    const struct rp_replica *replica = get_replica(control);
    const struct rp_replica_member *leader = RpReplica_Leader(replica);
    bool fresh = RpReplica_IsFresh(replica, now);

    if (leader && fresh) {
        control->quorum_lost_at = 0;
        return;
    }
    if (control->quorum_lost_at == 0) {
        control->quorum_lost_at = now;
    }
    if (now < control->next_quorum_line) {
        return;
    }
    control->next_quorum_line = now + RP_QUORUM_LINE_INTERVAL_US;
    struct missing_voters missing = {.who = g_string_new(NULL),
                                     .last_heard_ms = g_string_new(NULL),
                                     .connected = g_string_new(NULL)};
    size_t answering = find_missing(control, now, &missing);
    bool none = missing.who->len == 0;
    RpLog_Event(control->daemon.log, RP_LOG_WARN, "replica_without_quorum",
                "role=%s term=%" G_GUINT64_FORMAT " leader=%s fresh=%d "
                "voters=%zu quorum=%zu answering=%zu missing=%s "
                "last_heard_ms=%s connected=%s",
                RpReplica_RoleName(replica), RpReplica_Term(replica),
                RpControl_MemberName(control, leader), fresh,
                RpReplica_VoterCount(replica), RpReplica_Quorum(replica),
                answering, none ? "none" : missing.who->str,
                none ? "none" : missing.last_heard_ms->str,
                none ? "none" : missing.connected->str);
    g_string_free(missing.who, TRUE);
    g_string_free(missing.last_heard_ms, TRUE);
    g_string_free(missing.connected, TRUE);
}

void
RpControl_WriteMemberGauges(const struct control *control, GString *out)
{
    const struct rp_replica *replica = get_replica(control);
    guint members = RpReplica_Members(replica)->len;
    size_t voters = RpReplica_VoterCount(replica);

    g_string_append_printf(out, "voters %zu\nlearners %zu\n", voters,
                           members - voters);
    if (RpReplica_Role(replica) == RP_REPLICA_LEADER) {
        g_string_append_printf(
            out, "failures_tolerated %d\n",
            RpReplica_FailuresTolerated(replica, RpClock_Now()));
    }
}
