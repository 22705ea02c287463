/* What the logs and metrics tell about the group of replicas: who votes, how
 * many failures the group tolerates, and each change of the members. */
#include "control.h"
#include "rp_clock.h"

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
