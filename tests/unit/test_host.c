/* Tests of host reports: sequences of reports with the result of each, and
 * decoding of report bodies. */
#include <glib.h>
#include <string.h>

#include "check.h"
#include "rp_host.h"
#include "rp_platform.h"

#define INTERVAL_US (1200 * RP_US_PER_MS)

static struct rp_name
make_name(const char *text)
{
    struct rp_name name;

    RpName_Set(&name, RpStr_FromC(text));
    return name;
}

/* One event of a sequence, a report or a deregistration, and the result that
 * it must have. */
struct event {
    uint32_t at_ms;
    const char *id;
    const char *service; /* NULL: the agent's service */
    uint64_t born;
    uint64_t sequence;
    bool draining;
    bool deregisters;                  /* false: a report */
    enum rp_host_report_result result; /* of a report */
    bool alive; /* whether the host may get new flows afterwards */
};

static struct rp_endpoint
make_address(const char *text)
{
    struct rp_endpoint address;

    assert_true(RpEndpoint_Parse(RpStr_FromC(text), &address));
    return address;
}

#define HOST_ADDRESS "10.0.0.1:80"
#define STARTED_MS 8000 /* start of the agent, by the wall clock */

/* Initialises the state of the host of lens-desk at HOST_ADDRESS. */
static void
init_host(struct rp_host *host)
{
    struct rp_name service = make_name("lens-desk");

    RpHost_Init(host, &service, make_address(HOST_ADDRESS), INTERVAL_US,
                STARTED_MS);
}

static void
run_events(const char *title, const struct event *events, size_t count)
{
    struct rp_host host;

    init_host(&host);
    for (size_t i = 0; i < count; i++) {
        const struct event *event = &events[i];
        int64_t now = event->at_ms * RP_US_PER_MS;
        const char *service = event->service ? event->service : "lens-desk";
        const struct rp_host_report report = {
            .id = make_name(event->id),
            .service = make_name(service),
            .address = make_address(HOST_ADDRESS),
            .host_start_ms = event->born,
            .sequence = event->sequence,
            .slots = 7,
            .draining = event->draining};

        if (event->deregisters) {
            RpHost_HandleDeregistration(&host, now, &report.id);
        }
        else {
            enum rp_host_report_result result = RpHost_HandleReport(&host, now,
                                                                    &report);
            if (result != event->result) {
                fail_msg("%s, event %zu: result %d, expected %d", title, i,
                         result, event->result);
            }
        }
        if (RpHost_IsAlive(&host, now) != event->alive) {
            fail_msg("%s, event %zu: alive %d, expected %d", title, i,
                     !event->alive, event->alive);
        }
    }
}

#define RUN_EVENTS(title, ...)                                                \
    do {                                                                      \
        static const struct event events[] = {__VA_ARGS__};                   \
        run_events(title, events, G_N_ELEMENTS(events));                      \
    } while (0)

static void
test_report_sequences(void **state)
{
    (void)state;
    RUN_EVENTS(
        "reports and the deregistration of one run",
        {0, "i-1", NULL, 100, 1, false, false, RP_HOST_REPORT_NEW_RUN, true},
        {1200, "i-1", NULL, 100, 2, false, false, RP_HOST_REPORT_UNCHANGED,
         true},
        {2400, "i-1", NULL, 100, 3, true, false, RP_HOST_REPORT_CHANGED, true},
        {3000, "i-1", NULL, 100, 0, false, true, RP_HOST_REPORT_UNCHANGED,
         false},
        {3100, "i-1", NULL, 100, 4, false, false, RP_HOST_REPORT_STALE,
         false});
    RUN_EVENTS(
        "late and repeated reports are stale",
        {0, "i-1", NULL, 100, 5, false, false, RP_HOST_REPORT_NEW_RUN, true},
        {10, "i-1", NULL, 100, 5, true, false, RP_HOST_REPORT_STALE, true},
        {20, "i-1", NULL, 100, 4, true, false, RP_HOST_REPORT_STALE, true},
        {30, "i-1", NULL, 100, 6, true, false, RP_HOST_REPORT_CHANGED, true},
        {40, "i-1", NULL, 100, 5, false, false, RP_HOST_REPORT_STALE, true});
    RUN_EVENTS(
        "reports of another service's host are ignored",
        {0, "i-9", "photo-shelf", 100, 1, false, false, RP_HOST_REPORT_FOREIGN,
         false},
        {10, "i-1", NULL, 90, 1, false, false, RP_HOST_REPORT_NEW_RUN, true},
        {20, "i-9", "photo-shelf", 200, 9, true, false, RP_HOST_REPORT_FOREIGN,
         true},
        {30, "i-9", NULL, 90, 9, false, true, RP_HOST_REPORT_UNCHANGED, true});
    RUN_EVENTS(
        "a new run with a new id",
        {0, "i-1", NULL, 100, 8, false, false, RP_HOST_REPORT_NEW_RUN, true},
        {900, "i-2", NULL, 200, 1, false, false, RP_HOST_REPORT_NEW_RUN, true},
        {950, "i-1", NULL, 100, 9, true, false, RP_HOST_REPORT_STALE, true});
    RUN_EVENTS(
        "a new run with the same id restarts the sequence numbers",
        {0, "i-1", NULL, 100, 8, false, false, RP_HOST_REPORT_NEW_RUN, true},
        {900, "i-1", NULL, 200, 1, false, false, RP_HOST_REPORT_NEW_RUN, true},
        {950, "i-1", NULL, 100, 9, true, false, RP_HOST_REPORT_STALE, true},
        {990, "i-1", NULL, 200, 2, false, false, RP_HOST_REPORT_UNCHANGED,
         true});
    RUN_EVENTS(
        "the same run reports again after a timeout",
        {0, "i-1", NULL, 100, 1, false, false, RP_HOST_REPORT_NEW_RUN, true},
        {9000, "i-1", NULL, 100, 2, false, false, RP_HOST_REPORT_UNCHANGED,
         true});
    RUN_EVENTS(
        "a run with an earlier start time, after the wall clock was set back, "
        "is accepted only once the previous run has timed out",
        {0, "i-1", NULL, 100, 1, false, false, RP_HOST_REPORT_NEW_RUN, true},
        {500, "i-2", NULL, 50, 1, false, false, RP_HOST_REPORT_STALE, true},
        {3700, "i-2", NULL, 50, 2, false, false, RP_HOST_REPORT_NEW_RUN,
         true});
    RUN_EVENTS(
        "a new run is accepted after a deregistration",
        {0, "i-1", NULL, 100, 1, false, false, RP_HOST_REPORT_NEW_RUN, true},
        {10, "i-1", NULL, 100, 0, false, true, RP_HOST_REPORT_UNCHANGED,
         false},
        {20, "i-2", NULL, 300, 1, false, false, RP_HOST_REPORT_NEW_RUN, true});
}

/* Guards against a report of another host, complete but for another address,
 * that passes for a new run of the agent's own host. */
static void
test_other_address(void **state)
{
    struct rp_host_report own = {.id = make_name("i-1"),
                                 .service = make_name("lens-desk"),
                                 .address = make_address(HOST_ADDRESS),
                                 .host_start_ms = 90,
                                 .sequence = 1,
                                 .slots = 7};
    struct rp_host_report other = own;
    struct rp_host host;

    (void)state;
    init_host(&host);
    other.address = make_address("10.0.0.2:80");
    other.host_start_ms = 200;
    assert_int_equal(RpHost_HandleReport(&host, 1, &other),
                     RP_HOST_REPORT_FOREIGN);
    assert_false(host.has_report);
    assert_int_equal(RpHost_HandleReport(&host, 2, &own),
                     RP_HOST_REPORT_NEW_RUN);
    assert_int_equal(RpHost_HandleReport(&host, 3, &other),
                     RP_HOST_REPORT_FOREIGN);
    other.id = make_name("i-2");
    other.address = make_address("10.0.0.1:81");
    other.draining = true;
    assert_int_equal(RpHost_HandleReport(&host, 4, &other),
                     RP_HOST_REPORT_FOREIGN);
    own.sequence = 2;
    assert_int_equal(RpHost_HandleReport(&host, INTERVAL_US, &own),
                     RP_HOST_REPORT_UNCHANGED);
    assert_true(RpHost_IsAlive(&host, INTERVAL_US));
}

static void
test_timeout(void **state)
{
    struct rp_name service = make_name("lens-desk");
    struct rp_host host;
    const struct rp_host_report report = {
        .id = make_name("i-1"),
        .service = service,
        .address = make_address(HOST_ADDRESS),
        .sequence = 1,
        .slots = 7};

    (void)state;
    init_host(&host);
    assert_false(RpHost_IsAlive(&host, 0));
    RpHost_HandleReport(&host, 0, &report);
    assert_int_equal(RpHost_TimeoutDeadline(&host), 3 * INTERVAL_US);
    assert_true(RpHost_IsAlive(&host, 3 * INTERVAL_US - 1));
    assert_false(RpHost_IsAlive(&host, 3 * INTERVAL_US));
}

#define COMPLETE                                                              \
    "{\"service\":\"lens\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","       \
    "\"version\":\"v1\""

/* Guards against a report of another writer that passes for the host's own:
 * report bodies, and the findings that each must produce, in order. */
static void
test_decode_reports(void **state)
{
    static const struct {
        const char *body;
        const char *expected;
    } cases[] = {
        {COMPLETE ",\"slots\":7,\"state\":\"ready\",\"cold-left-ms\":0,"
                  "\"seq\":4,\"born\":1700000000000}",
         ""},
        {COMPLETE ",\"slots\":7,\"state\":\"draining\",\"cold-left-ms\":9,"
                  "\"seq\":4,\"born\":1700000000000,\"new-field\":[1,2]}",
         ""},
        {"", "body: byte 0: '[' or '{' expected near end of file\n"},
        {"[1]", "body: is not an object\n"},
        {"{\"service\":7,\"address\":\"10.0.0.1\",\"zone\":null,"
         "\"version\":2,\"slots\":\"many\",\"state\":\"resting\","
         "\"cold-left-ms\":0.5,\"seq\":-1,\"born\":\"today\"}",
         "report: service is missing or not a string\n"
         "report: service is not a valid name\n"
         "report: address is not an address with a port\n"
         "report: zone is missing or not a string\n"
         "report: version is missing or not a string\n"
         "report: born is missing, not an integer or out of range\n"
         "report: seq is missing, not an integer or out of range\n"
         "report: slots is missing, not an integer or out of range\n"
         "report: cold-left-ms is missing, not an integer or out of range\n"
         "report: state is neither ready nor draining\n"},
        {"{}",
         "report: service is missing or not a string\n"
         "report: service is not a valid name\n"
         "report: address is missing or not a string\n"
         "report: address is not an address with a port\n"
         "report: zone is missing or not a string\n"
         "report: version is missing or not a string\n"
         "report: born is missing, not an integer or out of range\n"
         "report: seq is missing, not an integer or out of range\n"
         "report: slots is missing, not an integer or out of range\n"
         "report: cold-left-ms is missing, not an integer or out of range\n"
         "report: state is missing or not a string\n"
         "report: state is neither ready nor draining\n"},
        {COMPLETE ",\"slots\":0.5,\"state\":null,\"cold-left-ms\":0,"
                  "\"seq\":1,\"born\":1}",
         "report: slots is missing, not an integer or out of range\n"
         "report: state is missing or not a string\n"
         "report: state is neither ready nor draining\n"},
        /* Of another writer, readable but for what is missing. */
        {"{\"service\":\"lens\",\"slots\":7,\"state\":\"ready\","
         "\"cold-left-ms\":0,\"seq\":1,\"born\":1700000000000}",
         "report: address is missing or not a string\n"
         "report: address is not an address with a port\n"
         "report: zone is missing or not a string\n"
         "report: version is missing or not a string\n"},
        {COMPLETE ",\"slots\":7,\"state\":\"ready\",\"seq\":1}",
         "report: born is missing, not an integer or out of range\n"
         "report: cold-left-ms is missing, not an integer or out of range\n"},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct rp_host_report report;
        struct rp_error error;
        GString *text = g_string_new(NULL);
        RpError_Init(&error);
        enum rp_code code = RpPlatform_DecodeReport(
            RP_STR("i-1"), RpStr_FromC(cases[i].body), RP_PLATFORM_REPORT_MAX,
            &report, &error);
        RpError_Format(&error, text);
        assert_string_equal(text->str, cases[i].expected);
        assert_int_equal(code == RP_OK, text->len == 0);
        RpError_Clear(&error);
        g_string_free(text, TRUE);
    }
}

static void
test_invalid_json(void **state)
{
    struct rp_host_report report;

    (void)state;
    assert_int_equal(
        RpPlatform_DecodeReport(RP_STR("i-1"), RP_STR("{\"service\":\"le"),
                                RP_PLATFORM_REPORT_MAX, &report, NULL),
        RP_ERR_FORMAT);
}

/* What an agent announces from its start on, while its host is not there, is
 * heard, drains and falls silent. */
static void
test_announced_state(void **state)
{
    struct rp_name service = make_name("lens-desk");
    struct rp_host_report report = {.id = make_name("i-1"),
                                    .service = service,
                                    .address = make_address(HOST_ADDRESS),
                                    .sequence = 4};
    struct rp_host host;

    (void)state;
    init_host(&host);
    assert_int_equal(RpHost_UpstreamState(&host, 5, 5), RP_UPSTREAM_UNHEARD);
    assert_int_equal(RpHost_UpstreamState(&host, 4 + 3 * INTERVAL_US, 5),
                     RP_UPSTREAM_UNHEARD);
    assert_int_equal(RpHost_UpstreamState(&host, 5 + 3 * INTERVAL_US, 5),
                     RP_UPSTREAM_LOST);
    RpHost_HandleReport(&host, 4 * INTERVAL_US, &report);
    assert_int_equal(RpHost_UpstreamState(&host, 4 * INTERVAL_US, 5),
                     RP_UPSTREAM_READY);
    /* A host that was heard and is silent may be slow: it keeps its flows. */
    assert_int_equal(RpHost_UpstreamState(&host, 9 * INTERVAL_US, 5),
                     RP_UPSTREAM_DRAINING);
    report.draining = true;
    report.sequence++;
    RpHost_HandleReport(&host, 9 * INTERVAL_US, &report);
    assert_int_equal(RpHost_UpstreamState(&host, 9 * INTERVAL_US, 5),
                     RP_UPSTREAM_DRAINING);
}

/* An agent that was paused has reports of its host still unread: the host
 * stays alive for as long as it could have been read in. */
static void
test_pause(void **state)
{
    struct rp_name service = make_name("lens-desk");
    const struct rp_host_report report = {
        .id = make_name("i-1"),
        .service = service,
        .address = make_address(HOST_ADDRESS),
        .sequence = 4};
    struct rp_host host;

    (void)state;
    init_host(&host);
    RpHost_HandleReport(&host, 0, &report);
    assert_false(RpHost_IsAlive(&host, 9 * INTERVAL_US));
    RpHost_RecordPause(&host, 8 * INTERVAL_US);
    assert_true(RpHost_IsAlive(&host, 9 * INTERVAL_US));
    assert_false(RpHost_IsAlive(&host, 11 * INTERVAL_US));
}

/* A stop request resets open flows only if the host has ended by its own
 * word. */
static void
test_stop(void **state)
{
    struct rp_name service = make_name("lens-desk");
    struct rp_host_report report = {.id = make_name("i-1"),
                                    .service = service,
                                    .address = make_address(HOST_ADDRESS),
                                    .sequence = 4,
                                    .draining = true};
    struct rp_host host;

    (void)state;
    init_host(&host);
    assert_int_equal(RpHost_ClassifyStop(&host), RP_HOST_STOP_REPLACED);
    RpHost_HandleReport(&host, 1, &report);
    assert_int_equal(RpHost_ClassifyStop(&host), RP_HOST_STOP_REPLACED);
    assert_false(RpHost_IsAlive(&host, 4 * INTERVAL_US));
    assert_int_equal(RpHost_ClassifyStop(&host), RP_HOST_STOP_REPLACED);
    struct rp_name other = make_name("i-2");
    RpHost_HandleDeregistration(&host, 2, &other);
    assert_int_equal(RpHost_ClassifyStop(&host), RP_HOST_STOP_REPLACED);
    RpHost_HandleDeregistration(&host, 2, &report.id);
    assert_int_equal(RpHost_ClassifyStop(&host), RP_HOST_STOP_ENDED);
}

/* Guards against an agent that takes the time of day for proof that it knows
 * all flows of its host: without the first report of a run, no start time
 * proves that the agent has run since before it. */
static void
test_knows_run_from_start(void **state)
{
    struct rp_name service = make_name("lens-desk");
    struct rp_host_report report = {.id = make_name("i-1"),
                                    .service = service,
                                    .address = make_address(HOST_ADDRESS),
                                    .host_start_ms = INT64_MAX,
                                    .sequence = 2};
    struct rp_host host;

    (void)state;
    init_host(&host);
    assert_false(RpHost_KnowsRunFromStart(&host));
    RpHost_HandleReport(&host, 1, &report);
    assert_false(RpHost_KnowsRunFromStart(&host));
    init_host(&host);
    report.sequence = 1;
    RpHost_HandleReport(&host, 1, &report);
    assert_true(RpHost_KnowsRunFromStart(&host));
    report.sequence = 2;
    RpHost_HandleReport(&host, 2, &report);
    assert_true(RpHost_KnowsRunFromStart(&host));
}

/* Guards against an agent that takes a late report of a crashed run, the first
 * that it reads after its start, for that of the living one, and so believes
 * that it knows all flows: whichever of the crashed run's reports it is, and
 * after two crashes in a row. */
static void
test_late_report_after_agent_start(void **state)
{
    struct rp_host_report late = {.id = make_name("i-1"),
                                  .service = make_name("lens-desk"),
                                  .address = make_address(HOST_ADDRESS),
                                  .host_start_ms = 1000};
    struct rp_host_report living = late;
    struct rp_host host;

    (void)state;
    living.host_start_ms = 5000;
    for (uint64_t sequence = 1; sequence <= 4; sequence += 3) {
        init_host(&host);
        late.sequence = sequence;
        RpHost_HandleReport(&host, 1, &late);
        assert_false(RpHost_KnowsRunFromStart(&host));
        living.sequence = 5;
        assert_int_equal(RpHost_HandleReport(&host, 2, &living),
                         RP_HOST_REPORT_NEW_RUN);
        assert_false(RpHost_KnowsRunFromStart(&host));
        living.sequence = 6;
        RpHost_HandleReport(&host, INTERVAL_US, &living);
        assert_false(RpHost_KnowsRunFromStart(&host));
    }
    /* The next run starts under the agent's eyes, and under the same id. */
    living.host_start_ms = 9000;
    living.sequence = 1;
    assert_int_equal(RpHost_HandleReport(&host, 2 * INTERVAL_US, &living),
                     RP_HOST_REPORT_NEW_RUN);
    assert_true(RpHost_KnowsRunFromStart(&host));
}

/* A run whose start time cannot show that it began with the agent, since the
 * wall clock was stepped: its second report shows that the first was not a
 * late one. */
static void
test_first_report_with_stepped_clock(void **state)
{
    struct rp_host_report report = {.id = make_name("i-1"),
                                    .service = make_name("lens-desk"),
                                    .address = make_address(HOST_ADDRESS),
                                    .host_start_ms = 1000,
                                    .sequence = 1};
    struct rp_host host;

    (void)state;
    init_host(&host);
    RpHost_HandleReport(&host, 1, &report);
    assert_false(RpHost_KnowsRunFromStart(&host));
    report.sequence = 2;
    RpHost_HandleReport(&host, INTERVAL_US, &report);
    assert_true(RpHost_KnowsRunFromStart(&host));
    report.sequence = 4;
    RpHost_HandleReport(&host, 2 * INTERVAL_US, &report);
    assert_true(RpHost_KnowsRunFromStart(&host));
    /* One that began just before the agent, as after a loss of power. */
    init_host(&host);
    report.host_start_ms = STARTED_MS - INTERVAL_US / RP_US_PER_MS;
    report.sequence = 1;
    RpHost_HandleReport(&host, 1, &report);
    assert_true(RpHost_KnowsRunFromStart(&host));
}

/* Guards against an agent that reads a late first report of its living host
 * first, and then takes its empty flow table for complete: the reports in
 * between went to the agent before it, which admitted flows. */
static void
test_late_first_report_of_living_host(void **state)
{
    struct rp_host_report report = {.id = make_name("i-1"),
                                    .service = make_name("lens-desk"),
                                    .address = make_address(HOST_ADDRESS),
                                    .host_start_ms = 1000,
                                    .sequence = 1};
    struct rp_host host;

    (void)state;
    init_host(&host);
    RpHost_HandleReport(&host, 1, &report);
    for (report.sequence = 5; report.sequence < 8; report.sequence++) {
        RpHost_HandleReport(&host, INTERVAL_US, &report);
        assert_false(RpHost_KnowsRunFromStart(&host));
    }
}

/* Guards against a late deregistration of an earlier run with the same id: the
 * living host gets new flows again, and a stop is not its end. */
static void
test_late_deregistration(void **state)
{
    struct rp_host_report report = {.id = make_name("i-1"),
                                    .service = make_name("lens-desk"),
                                    .address = make_address(HOST_ADDRESS),
                                    .host_start_ms = 5000,
                                    .sequence = 1,
                                    .slots = 7};
    struct rp_host host;

    (void)state;
    init_host(&host);
    RpHost_HandleReport(&host, 1, &report);
    RpHost_HandleDeregistration(&host, 2, &report.id);
    assert_false(RpHost_IsAlive(&host, 3));
    assert_int_equal(RpHost_ClassifyStop(&host), RP_HOST_STOP_REPLACED);
    /* A report from before does not take it back. */
    assert_int_equal(RpHost_HandleReport(&host, 4, &report),
                     RP_HOST_REPORT_STALE);
    assert_false(RpHost_IsAlive(&host, 4));
    report.sequence = 2;
    assert_int_equal(RpHost_HandleReport(&host, INTERVAL_US, &report),
                     RP_HOST_REPORT_CHANGED);
    assert_true(RpHost_IsAlive(&host, INTERVAL_US));

    /* A run that drains may have sent one report before it left. */
    report.draining = true;
    report.sequence = 3;
    RpHost_HandleReport(&host, 2 * INTERVAL_US, &report);
    RpHost_HandleDeregistration(&host, 2 * INTERVAL_US, &report.id);
    assert_int_equal(RpHost_ClassifyStop(&host), RP_HOST_STOP_ENDED);
    for (uint64_t sequence = 3; sequence <= 4; sequence++) {
        report.sequence = sequence;
        assert_int_equal(RpHost_HandleReport(&host, 3 * INTERVAL_US, &report),
                         RP_HOST_REPORT_STALE);
        assert_int_equal(RpHost_ClassifyStop(&host), RP_HOST_STOP_ENDED);
    }
    report.sequence = 5;
    assert_int_equal(RpHost_HandleReport(&host, 4 * INTERVAL_US, &report),
                     RP_HOST_REPORT_CHANGED);
    assert_int_equal(RpHost_ClassifyStop(&host), RP_HOST_STOP_REPLACED);
    assert_true(RpHost_IsAlive(&host, 4 * INTERVAL_US));
}

/* Guards against a host that is never heard again: it was started again under
 * its id while the time of day of its machine was behind. */
static void
test_earlier_start_time(void **state)
{
    struct rp_name service = make_name("lens-desk");
    struct rp_host_report report = {.id = make_name("i-1"),
                                    .service = service,
                                    .address = make_address(HOST_ADDRESS),
                                    .host_start_ms = 5000,
                                    .sequence = 9};
    struct rp_host host;

    (void)state;
    init_host(&host);
    RpHost_HandleReport(&host, 1, &report);
    report.host_start_ms = 3000;
    report.sequence = 1;
    assert_int_equal(RpHost_HandleReport(&host, INTERVAL_US, &report),
                     RP_HOST_REPORT_STALE);
    report.sequence = 4;
    assert_int_equal(RpHost_HandleReport(&host, 4 * INTERVAL_US, &report),
                     RP_HOST_REPORT_NEW_RUN);
    assert_true(RpHost_IsAlive(&host, 4 * INTERVAL_US));

    /* A late report of the run before does not bring back a host that has just
     * deregistered. */
    RpHost_HandleDeregistration(&host, 5 * INTERVAL_US, &report.id);
    report.host_start_ms = 2000;
    assert_int_equal(RpHost_HandleReport(&host, 6 * INTERVAL_US, &report),
                     RP_HOST_REPORT_STALE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_report_sequences),
        cmocka_unit_test(test_other_address),
        cmocka_unit_test(test_timeout),
        cmocka_unit_test(test_announced_state),
        cmocka_unit_test(test_pause),
        cmocka_unit_test(test_stop),
        cmocka_unit_test(test_knows_run_from_start),
        cmocka_unit_test(test_late_report_after_agent_start),
        cmocka_unit_test(test_first_report_with_stepped_clock),
        cmocka_unit_test(test_late_first_report_of_living_host),
        cmocka_unit_test(test_late_deregistration),
        cmocka_unit_test(test_earlier_start_time),
        cmocka_unit_test(test_decode_reports),
        cmocka_unit_test(test_invalid_json),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
