/* Editions that the operator sends and reads over HTTP.
 *
 * The leader answers; every other replica names the leader. An edition is
 * acknowledged once it is committed, a read once a majority has confirmed
 * that this replica still leads. Either has an answer before its deadline. */
#include "control.h"
#include "rp_clock.h"

/* Callers give a call up after a second and turn to another replica; what
 * is not decided shortly before is answered with "try again". */
#define ANSWER_US (900 * RP_US_PER_MS)

/* A call that waits for the log or for a majority. */
struct call {
    struct rp_platform_request *request;
    uint64_t term;
    uint64_t index; /* of the proposed edition; 0: it is a read */
    uint64_t round; /* of a read */
    int64_t deadline;
};

struct control_editions {
    struct control *control;
    struct rp_platform *platform;
    GQueue calls; /* of struct call, oldest first */
};

static struct rp_replica *
replica_of(const struct control_editions *editions)
{
    return RpControlReplica_Replica(editions->control->replica);
}

static const struct rp_catalog *
catalog_of(const struct control_editions *editions)
{
    return RpControlReplica_Catalog(editions->control->replica);
}

/* This replica cannot decide: names the one that can, if there is one. */
static void
send_elsewhere(struct control_editions *editions,
               struct rp_platform_request *request)
{
    const struct rp_replica *replica = replica_of(editions);
    const struct rp_replica_member *leader = RpReplica_Leader(replica);

    if (leader && leader->id != RpReplica_Id(replica)) {
        RpPlatform_AnswerElsewhere(request, leader->ip);
        return;
    }
    RpCounters_Add(&editions->control->daemon.counters,
                   RP_COUNT_CHANGE_NO_LEADER);
    RpPlatform_Answer(request, RP_ERR_NO_LEADER, NULL);
}

static struct call *
add_call(struct control_editions *editions,
         struct rp_platform_request *request)
{
    struct call *call = g_new0(struct call, 1);

    call->request = request;
    call->term = RpReplica_Term(replica_of(editions));
    call->deadline = RpClock_Now() + ANSWER_US;
    g_queue_push_tail(&editions->calls, call);
    return call;
}

static void
on_sent(void *user, const struct rp_edition *edition,
        struct rp_platform_request *request)
{
    struct control_editions *editions = user;
    struct control *control = editions->control;
    const struct rp_edition *current = RpCatalog_Edition(catalog_of(editions));
    uint64_t index;
    uint64_t term;

    RpLog_Event(control->daemon.log, RP_LOG_INFO, "edition_received",
                "version=%" G_GUINT64_FORMAT " have=%" G_GUINT64_FORMAT
                " addresses=%u role=%s",
                edition->version, current ? current->version : 0,
                edition->vips->len, RpReplica_RoleName(replica_of(editions)));
    if (RpReplica_Role(replica_of(editions)) != RP_REPLICA_LEADER) {
        send_elsewhere(editions, request);
        return;
    }
    if (current && edition->version <= current->version) {
        RpCounters_Add(&control->daemon.counters, RP_COUNT_CHANGE_REPEATED);
        RpPlatform_Answer(request, RP_OK, NULL);
        return;
    }
    GString *command = RpCatalog_EncodeEdition(edition);
    enum rp_code code = RpControlReplica_Propose(
        control->replica, RpClock_Now(), command, &index, &term);
    if (code == RP_OK) {
        add_call(editions, request)->index = index;
        RpControlReplica_CarryOut(control->replica);
    }
    else {
        send_elsewhere(editions, request);
    }
    g_string_free(command, TRUE);
}

static void
on_read(void *user, struct rp_platform_request *request)
{
    struct control_editions *editions = user;
    struct control *control = editions->control;
    uint64_t round = RpReplica_StartRead(replica_of(editions), RpClock_Now());

    if (round == 0) {
        send_elsewhere(editions, request);
        return;
    }
    add_call(editions, request)->round = round;
    RpControlReplica_CarryOut(control->replica);
    RpControlEditions_Review(editions, RpClock_Now());
}

static void
on_unreadable(void *user, const char *what, const struct rp_error *error)
{
    struct control_editions *editions = user;
    struct rp_daemon *daemon = &editions->control->daemon;
    gchar *pairs = g_strdup_printf("what=%s ", what);

    RpCounters_Add(&daemon->counters, RP_COUNT_CHANGE_BAD_DOCUMENT);
    RpDaemon_LogFindings(daemon, RP_LOG_WARN, "edition_refused", pairs, error);
    g_free(pairs);
}

static void
answer_read(struct control_editions *editions, const struct call *call)
{
    const struct rp_edition *edition = RpCatalog_Edition(catalog_of(editions));

    if (edition) {
        RpPlatform_AnswerContent(call->request, edition->content);
    }
    else {
        RpPlatform_Answer(call->request, RP_ERR_NO_LEADER, NULL);
    }
}

/* Answers a call if it can be answered now. */
static bool
settle(struct control_editions *editions, const struct call *call, int64_t now)
{
    const struct rp_replica *replica = replica_of(editions);

    if (call->round &&
        RpReplica_ReadIsSafe(replica, call->term, call->round)) {
        answer_read(editions, call);
        return true;
    }
    if (now < call->deadline && RpReplica_Term(replica) == call->term &&
        RpReplica_Role(replica) == RP_REPLICA_LEADER) {
        return false;
    }
    /* Not known to have failed: the operator sends it again. */
    RpCounters_Add(&editions->control->daemon.counters,
                   RP_COUNT_CHANGE_TIMEOUT);
    RpPlatform_Answer(call->request, RP_ERR_TIMEOUT, NULL);
    return true;
}

void
RpControlEditions_Review(struct control_editions *editions, int64_t now)
{
    GList *link = editions->calls.head;

    while (link) {
        GList *next = link->next;
        if (settle(editions, link->data, now)) {
            g_free(link->data);
            g_queue_delete_link(&editions->calls, link);
        }
        link = next;
    }
}

void
RpControlEditions_Applied(struct control_editions *editions,
                          const struct rp_log_entry *entry,
                          const struct rp_msg_change_reply *reply)
{
    for (GList *link = editions->calls.head; link; link = link->next) {
        struct call *call = link->data;
        if (call->index != entry->index) {
            continue;
        }
        RpCounters_Time(&editions->control->daemon.counters,
                        RP_HISTOGRAM_CHANGE_DECIDED,
                        RpClock_Now() - (call->deadline - ANSWER_US));
        enum rp_code code = call->term == entry->term
                                ? (enum rp_code)reply->code
                                : RP_ERR_TIMEOUT;
        RpPlatform_Answer(call->request, code, NULL);
        g_queue_delete_link(&editions->calls, link);
        g_free(call);
        return;
    }
}

struct control_editions *
RpControlEditions_Open(struct control *control, struct rp_error *error)
{
    static const struct rp_platform_ops ops = {.edition_sent = on_sent,
                                               .edition_read = on_read,
                                               .unreadable = on_unreadable};
    struct control_editions *editions = g_new0(struct control_editions, 1);

    editions->control = control;
    g_queue_init(&editions->calls);
    editions->platform = RpPlatform_Open(control->settings.operator_http, &ops,
                                         editions, error);
    if (!editions->platform) {
        g_free(editions);
        return NULL;
    }
    return editions;
}

void
RpControlEditions_Close(struct control_editions *editions)
{
    if (editions) {
        RpPlatform_Close(editions->platform);
        g_queue_clear_full(&editions->calls, g_free);
        g_free(editions);
    }
}
