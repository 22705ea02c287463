/* What a control instance logs about the operator's calls and about a missing
 * quorum. The replica is real, the other replicas are played by the test, and
 * the operator calls over loopback. */
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "control.h"
#include "rp_clock.h"

#define LOOPBACK 0x7f000001u
#define OWN_ID 1
#define OTHER_ID 2

#define EDITION                                                               \
    "{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"lens\","          \
    "\"max-conns\":10}]}"

/* A control instance, and what the test plays around it. */
struct world {
    struct control control;
    gchar *folder;
    char *text; /* the log */
    size_t text_len;
    FILE *out;
    GArray *sent;         /* of struct rp_msg, without owned parts */
    bool other_answers;   /* the other voter replies to votes and appends */
    int64_t other_heard;  /* see RpControlLinks_LastHeard */
    bool other_connected; /* see RpControlLinks_IsConnected */
};

static struct world *world; /* of the running test */

int64_t
RpControlLinks_LastHeard(const struct control_links *links, uint64_t id)
{
    (void)links;
    return id == OTHER_ID ? world->other_heard : 0;
}

const struct rp_name *
RpControlLinks_ReplicaName(const struct control_links *links, uint64_t id)
{
    static const struct rp_name name = {.len = 9, .data = "control-b"};

    (void)links;
    return id == OTHER_ID ? &name : NULL;
}

bool
RpControlLinks_IsConnected(const struct control_links *links, uint64_t id)
{
    (void)links;
    return id == OTHER_ID && world->other_connected;
}

size_t
RpControl_EditionMax(const struct control_settings *settings)
{
    (void)settings;
    return RP_PLATFORM_EDITION_MAX;
}

static void
on_send(void *user, uint64_t to, const struct rp_msg *msg)
{
    struct world *self = user;

    (void)to;
    if (msg->type == RP_MSG_VOTE || msg->type == RP_MSG_APPEND) {
        g_array_append_val(self->sent, *msg);
    }
}

static void
on_applied(void *user, const struct rp_log_entry *entry,
           const struct rp_msg_change_reply *reply)
{
    struct world *self = user;

    if (reply->is_edition || reply->is_change) {
        RpControlEditions_OnApplied(self->control.editions, entry, reply);
    }
}

static void
on_restored(void *user)
{
    (void)user;
}

static void
on_failed(void *user, const struct rp_error *error)
{
    (void)user;
    (void)error;
    fail();
}

static const struct rp_control_replica_ops ops = {
    .send = on_send,
    .applied = on_applied,
    .restored = on_restored,
    .member_change = RpControl_LogMemberChange,
    .disk_lost = RpControl_LogDiskLost,
    .failed = on_failed};

/* Replies as a voter that grants every vote and stores every entry. */
static struct rp_msg
make_reply(const struct rp_msg *msg)
{
    if (msg->type == RP_MSG_VOTE) {
        return (struct rp_msg){.type = RP_MSG_VOTE_REPLY,
                               .vote_reply = {.from = OTHER_ID,
                                              .to = OWN_ID,
                                              .term = msg->vote.term,
                                              .kind = msg->vote.kind,
                                              .granted = 1}};
    }
    return (struct rp_msg){
        .type = RP_MSG_APPEND_REPLY,
        .append_reply = {.from = OTHER_ID,
                         .to = OWN_ID,
                         .term = msg->append.term,
                         .round = msg->append.round,
                         .accepted = 1,
                         .match = RpReplica_LastIndex(RpControlReplica_Replica(
                             world->control.replica))}};
}

/* Runs the replica for 10 ms. */
static void
run_replica(void)
{
    struct control *control = &world->control;

    g_usleep(10 * RP_US_PER_MS);
    RpControlReplica_Tick(control->replica, RpClock_Now());
    GArray *sent = world->sent;
    world->sent = g_array_new(FALSE, FALSE, sizeof(struct rp_msg));
    for (guint i = 0; world->other_answers && i < sent->len; i++) {
        const struct rp_msg reply = make_reply(
            &g_array_index(sent, struct rp_msg, i));
        RpControlReplica_Receive(control->replica, RpClock_Now(), &reply);
    }
    g_array_free(sent, TRUE);
    RpControlEditions_AnswerPending(control->editions, RpClock_Now());
}

static uint16_t
find_port(void)
{
    GSocketListener *listener = g_socket_listener_new();
    guint16 port = g_socket_listener_add_any_inet_port(listener, NULL, NULL);

    g_socket_listener_close(listener);
    g_object_unref(listener);
    return port;
}

static void
open_world(struct world *self)
{
    struct control *control = &self->control;
    struct rp_error error;

    world = self;
    self->sent = g_array_new(FALSE, FALSE, sizeof(struct rp_msg));
    self->out = open_memstream(&self->text, &self->text_len);
    self->folder = g_dir_make_tmp("rp-calls-XXXXXX", NULL);
    RpName_Set(&control->settings.common.name, RP_STR("control-a"));
    control->daemon.log = RpLog_Create(self->out, RP_LOG_INFO, "control", "a");
    control->settings.operator_http = (struct rp_endpoint){
        .ip = LOOPBACK, .port = find_port()};
    RpError_Init(&error);
    control->replica = RpControlReplica_Open(
        self->folder, OWN_ID, RpClock_Now(), &ops, self, &error);
    assert_non_null(control->replica);
    control->editions = RpControlEditions_Open(control, &error);
    assert_non_null(control->editions);
    RpError_Clear(&error);
}

/* Starts a group of this replica and `others` more voters. */
static void
create_group(unsigned others)
{
    GArray *members = RpSchema_NewList(&rp_replica_member_schema);

    for (uint32_t i = 0; i <= others; i++) {
        struct rp_replica_member member = {
            .id = OWN_ID + i, .ip = 0x0a000001 + i, .port = 7001, .voter = 1};
        const char name[] = {(char)('a' + i), '\0'};
        RpName_Set(&member.name, RpStr_FromC(name));
        g_array_append_val(members, member);
    }
    RpControlReplica_CreateGroup(world->control.replica, members);
    g_array_free(members, TRUE);
}

/* Runs the replica until it leads and has committed an entry of its term. */
static void
run_until_leader(void)
{
    const struct control *control = &world->control;

    for (int i = 0; i < 1000; i++) {
        run_replica();
        if (RpReplica_IsFresh(RpControlReplica_Replica(control->replica),
                              RpClock_Now())) {
            return;
        }
    }
    fail_msg("the replica does not lead after 10 s");
}

/* Ends the test's world and removes its folder. */
static void
close_world(struct world *self)
{
    RpControlEditions_Close(self->control.editions);
    RpControlReplica_Close(self->control.replica);
    RpLog_Free(self->control.daemon.log);
    fclose(self->out);
    free(self->text);
    g_array_free(self->sent, TRUE);
    GDir *folder = g_dir_open(self->folder, 0, NULL);
    const char *name;
    while ((name = g_dir_read_name(folder)) != NULL) {
        gchar *path = g_build_filename(self->folder, name, NULL);
        g_remove(path);
        g_free(path);
    }
    g_dir_close(folder);
    g_rmdir(self->folder);
    g_free(self->folder);
}

/* Asserts that the log has a line with `event` and after it `pairs`. */
static void
check_line(const char *event, const char *pairs)
{
    fflush(world->out);
    const char *line = strstr(world->text, event);
    const char *found = line ? strstr(line, pairs) : NULL;

    if (!found) {
        fail_msg("no line %s with \"%s\" in:\n%s", event, pairs, world->text);
    }
}

/* Sends the operator's request, runs the replica until it is answered, and
 * checks the status. */
static void
call_path(const char *method, const char *path, const char *body,
          const char *status)
{
    char answer[4096] = {0};
    char address[RP_ENDPOINT_TEXT_MAX];
    GSocketClient *client = g_socket_client_new();
    GSocketConnection *connection = g_socket_client_connect_to_host(
        client,
        RpEndpoint_Format(world->control.settings.operator_http, address), 0,
        NULL, NULL);
    assert_non_null(connection);
    GSocket *socket = g_socket_connection_get_socket(connection);
    gchar *request = g_strdup_printf(
        "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s", method,
        path, strlen(body), body);

    assert_true(g_output_stream_write_all(
        g_io_stream_get_output_stream(G_IO_STREAM(connection)), request,
        strlen(request), NULL, NULL, NULL));
    while (!g_socket_condition_check(socket, G_IO_IN)) {
        while (g_main_context_iteration(NULL, FALSE)) {
        }
        run_replica();
    }
    assert_true(
        g_socket_receive(socket, answer, sizeof answer - 1, NULL, NULL) > 0);
    if (!strstr(answer, status)) {
        fail_msg("not %s: %s", status, answer);
    }
    g_free(request);
    g_object_unref(connection);
    g_object_unref(client);
}

static void
call(const char *method, const char *body, const char *status)
{
    call_path(method, "/-/config", body, status);
}

static void
assert_evacuated(guint count)
{
    GArray *list = RpCatalog_ListEvacuated(
        RpControlReplica_Catalog(world->control.replica));

    assert_int_equal(list->len, count);
    g_array_free(list, TRUE);
}

/* Orders for data centres from another writer: each is refused with a clear
 * status and changes nothing, or acknowledged, also when it is sent again. */
static void
test_orders_for_data_centres(void **state)
{
    static const struct {
        const char *method;
        const char *name;
        const char *body;
        const char *status;
        guint evacuated; /* afterwards */
    } cases[] = {
        {"POST", "east", "", " 200 ", 1},
        {"POST", "east", "", " 200 ", 1},
        {"POST", "west", "", " 200 ", 2},
        {"POST", "", "", " 400 ", 2},
        {"POST", "north", "", " 400 ", 2},
        {"POST", "eas", "", " 400 ", 2},
        {"POST", "East", "", " 400 ", 2},
        {"POST", "east/", "", " 400 ", 2},
        {"POST", "east/west", "", " 400 ", 2},
        {"POST", "east,west", "", " 400 ", 2},
        {"POST", "ea%20st", "", " 400 ", 2},
        {"POST", "ea%00st", "", " 400 ", 2},
        {"POST", "%ff%fe", "", " 400 ", 2},
        {"POST",
         "a234567890123456789012345678901234567890123456789012345678901234",
         "", " 400 ", 2},
        {"DELETE", "east", "{}", " 400 ", 2},
        {"DELETE", "east", " ", " 400 ", 2},
        {"PUT", "east", "", " 404 ", 2},
        {"GET", "east", "", " 404 ", 2},
        {"DELETE", "north", "", " 400 ", 2},
        {"DELETE", "east", "", " 200 ", 1},
        {"DELETE", "east", "", " 200 ", 1},
    };
    struct world self = {0};
    struct rp_counters *counters = &self.control.daemon.counters;

    (void)state;
    open_world(&self);
    self.control.settings.zones = g_string_new("east, west");
    call_path("POST", "/-/evacuation/east", "", " 503 ");
    create_group(0);
    run_until_leader();
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        gchar *path = g_strconcat("/-/evacuation/", cases[i].name, NULL);
        call_path(cases[i].method, path, cases[i].body, cases[i].status);
        assert_evacuated(cases[i].evacuated);
        g_free(path);
    }
    check_line("event=evacuation_requested", "zone=east role=");
    check_line("event=zone_answered what=evacuate zone=east ",
               "result=ok ms=");
    check_line("event=zone_answered what=restore zone=east ", "unchanged=1\n");
    check_line("event=zone_answered what=evacuate zone=north ",
               "result=not_found ms=");
    check_line("event=zone_order_refused", "what=zone_order findings=");
    assert_int_equal(counters->value[RP_COUNT_ZONE_UNKNOWN], 3);
    /* All that are malformed but the one with a NUL, which is no URI. */
    assert_int_equal(counters->value[RP_COUNT_ZONE_BAD_ORDER], 10);
    /* The settings change: what was accepted is acknowledged again, and what
     * is evacuated can be restored. */
    g_string_assign(self.control.settings.zones, "north");
    call_path("POST", "/-/evacuation/west", "", " 200 ");
    call_path("DELETE", "/-/evacuation/west", "", " 200 ");
    call_path("DELETE", "/-/evacuation/west", "", " 200 ");
    call_path("POST", "/-/evacuation/north", "", " 200 ");
    assert_evacuated(1);
    g_string_free(self.control.settings.zones, TRUE);
    /* Without the setting any valid name will do. */
    self.control.settings.zones = NULL;
    call_path("POST", "/-/evacuation/south-9", "", " 200 ");
    assert_evacuated(2);
    close_world(&self);
}

/* The pattern of an order that reaches a leader which has just been cut off:
 * it is not acknowledged, though it is the state already. */
static void
test_order_without_a_majority(void **state)
{
    struct world self = {.other_answers = true};

    (void)state;
    open_world(&self);
    create_group(1);
    run_until_leader();
    call_path("POST", "/-/evacuation/east", "", " 200 ");
    self.other_answers = false;
    call_path("POST", "/-/evacuation/east", "", " 503 ");
    check_line("what=evacuate zone=east ", "result=ok ms=");
    check_line("result=ok ms=", "result=lead_lost ms=");
    check_line("result=lead_lost ms=", "confirmed=1 quorum=2 voters=2\n");
    close_world(&self);
}

/* Each call gets one line with its number, its answer and what decided it. */
static void
test_calls_are_logged(void **state)
{
    struct world self = {0};
    struct rp_counters *counters = &self.control.daemon.counters;

    (void)state;
    open_world(&self);
    call("GET", "", " 503 ");
    check_line("edition_answered", "what=read number=1 caller=127.0.0.1:");
    check_line("number=1 ", "result=no_leader version=0 ms=");
    check_line("number=1 ", "role=learner leader=none term=0 fresh=0\n");
    create_group(0);
    run_until_leader();
    call("GET", "", " 503 ");
    check_line("number=2 ", "result=no_edition version=0 ms=");
    check_line("number=2 ", "role=leader leader=control-a term=");
    call("PUT", EDITION, " 200 ");
    check_line("what=write number=3 ", "result=ok version=7 ms=");
    call("PUT", EDITION, " 200 ");
    check_line("what=write number=4 ", "result=ok version=7 ms=");
    check_line("what=write number=4 ", "fresh=1 repeated=1\n");
    call("GET", "", " 200 ");
    check_line("what=read number=5 ", "result=ok version=7 ms=");
    call("PUT", "{", " 400 ");
    check_line("event=edition_refused what=edition", "findings=");
    check_line("what=write number=6 ", "result=refused version=0 ms=");
    assert_int_equal(counters->value[RP_COUNT_EDITION_READ], 1);
    assert_int_equal(counters->value[RP_COUNT_EDITION_NONE], 1);
    assert_int_equal(counters->value[RP_COUNT_CHANGE_NO_LEADER], 1);
    assert_int_equal(counters->value[RP_COUNT_CHANGE_BAD_DOCUMENT], 1);
    close_world(&self);
}

/* A leader whose other voter falls silent: the read is given up with the
 * number of voters that have confirmed it, or because the lead was lost. */
static void
test_unconfirmed_read(void **state)
{
    struct world self = {.other_answers = true};
    struct rp_counters *counters = &self.control.daemon.counters;

    (void)state;
    open_world(&self);
    create_group(1);
    run_until_leader();
    self.other_answers = false;
    call("GET", "", " 503 ");
    check_line("event=edition_answered", "result=lead_lost version=0 ms=");
    check_line("event=edition_answered", "confirmed=1 quorum=2 voters=2\n");
    assert_int_equal(counters->value[RP_COUNT_EDITION_LEAD_LOST], 1);
    assert_int_equal(counters->value[RP_COUNT_CHANGE_TIMEOUT], 1);
    close_world(&self);
}

/* A replica without a quorum names the voters that it lacks, and no more than
 * once in RP_QUORUM_LINE_INTERVAL_US. */
static void
test_missing_voters_are_named(void **state)
{
    struct world self = {.other_connected = true};
    int64_t now = RpClock_Now();

    (void)state;
    open_world(&self);
    create_group(2);
    /* Just cut off: an open connection is enough. */
    RpControl_LogLackOfQuorum(&self.control, now);
    check_line("event=replica_without_quorum",
               "role=follower term=1 leader=none fresh=0 voters=3 quorum=2 "
               "answering=2 missing=c@10.0.0.3:7001 last_heard_ms=never "
               "connected=0\n");
    size_t written = self.text_len;
    RpControl_LogLackOfQuorum(&self.control,
                              now + RP_QUORUM_LINE_INTERVAL_US - 1);
    fflush(self.out);
    assert_int_equal(self.text_len, written);
    now += RP_QUORUM_LINE_INTERVAL_US;
    self.other_heard = now - 1600 * RP_US_PER_MS;
    RpControl_LogLackOfQuorum(&self.control, now);
    check_line("answering=1",
               "missing=control-b@10.0.0.2:7001,c@10.0.0.3:7001 "
               "last_heard_ms=1600,never connected=1,0\n");
    now += RP_QUORUM_LINE_INTERVAL_US;
    self.other_heard = now;
    RpControl_LogLackOfQuorum(&self.control, now);
    check_line("last_heard_ms=1600",
               "answering=2 missing=c@10.0.0.3:7001 last_heard_ms=never "
               "connected=0\n");
    close_world(&self);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_calls_are_logged),
        cmocka_unit_test(test_unconfirmed_read),
        cmocka_unit_test(test_orders_for_data_centres),
        cmocka_unit_test(test_order_without_a_majority),
        cmocka_unit_test(test_missing_voters_are_named),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
