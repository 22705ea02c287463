/* Tests of numbers, endpoints, labels, error findings, log lines and state
 * charts. */
#include <glib.h>
#include <string.h>

#include "check.h"
#include "rp_chart.h"
#include "rp_endpoint.h"
#include "rp_flow_chart.h"
#include "rp_log.h"

static void
test_numbers(void **state)
{
    static const struct {
        const char *text;
        uint64_t max;
        bool valid;
        uint64_t value;
    } cases[] = {
        {"0", 10, true, 0},
        {"10", 10, true, 10},
        {"11", 10, false, 0},
        {"", 10, false, 0},
        {"-1", 10, false, 0},
        {"1x", 100, false, 0},
        {"18446744073709551615", UINT64_MAX, true, UINT64_MAX},
        {"18446744073709551616", UINT64_MAX, false, 0},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint64_t value = 0;
        assert_int_equal(
            RpStr_ToUint(RpStr_FromC(cases[i].text), cases[i].max, &value),
            cases[i].valid);
        assert_int_equal(value, cases[i].value);
    }
}

static void
test_endpoints(void **state)
{
    static const struct {
        const char *text;
        bool valid;
    } cases[] = {
        {"10.80.0.1:7000", true},    {"255.255.255.255:65535", true},
        {"10.80.0.1", false},        {"10.80.0.1:0", false},
        {"10.80.0.1:65536", false},  {"10.80.0:7000", false},
        {"10.80.0.1.2:7000", false}, {"10.80.0.256:7000", false},
        {"lens-desk:7000", false},   {"", false},
        {"10.80.0.1:7000 ", false},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct rp_endpoint endpoint;
        char text[RP_ENDPOINT_TEXT_MAX];
        bool valid = RpEndpoint_Parse(RpStr_FromC(cases[i].text), &endpoint);
        assert_int_equal(valid, cases[i].valid);
        if (valid) {
            assert_string_equal(RpEndpoint_Format(endpoint, text),
                                cases[i].text);
        }
    }
}

static void
test_labels(void **state)
{
    static const struct {
        const char *text;
        bool valid;
    } cases[] = {
        {"lens-desk", true}, {"a", true},    {"9", true},
        {"-a", false},       {"a-", false},  {"", false},
        {"Lens", false},     {"a.b", false}, {"a b", false},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        assert_int_equal(RpName_IsLabel(RpStr_FromC(cases[i].text)),
                         cases[i].valid);
    }
}

static void
test_findings_are_collected(void **state)
{
    struct rp_error error;
    GString *text = g_string_new(NULL);

    (void)state;
    RpError_Init(&error);
    assert_int_equal(
        RpError_Add(&error, RP_ERR_SETTING, "--slots", "bad %d", 1),
        RP_ERR_SETTING);
    RpError_Add(&error, RP_ERR_SETTING, "--name", "missing");
    RpError_Format(&error, text);
    assert_string_equal(text->str, "--slots: bad 1\n--name: missing\n");
    RpError_Clear(&error);
    assert_int_equal(RpError_Count(&error), 0);
    g_string_free(text, TRUE);
}

static void
test_log_lines(void **state)
{
    char *text = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&text, &len);
    struct rp_log *log = RpLog_Create(out, RP_LOG_INFO, "agent", "a 1");

    (void)state;
    RpLog_Event(log, RP_LOG_DEBUG, "hidden", "%s", "");
    for (int i = 0; i < RP_LOG_BURST + 5; i++) {
        RpLog_Event(log, RP_LOG_WARN, "noisy", "n=%d", i);
    }
    RpLog_Free(log);
    fclose(out);
    assert_null(strstr(text, "hidden"));
    assert_non_null(strstr(text, "level=warn role=agent name=\"a 1\" "
                                 "event=noisy n=0\n"));
    assert_non_null(strstr(text, "n=19\n"));
    assert_null(strstr(text, "n=20\n"));
    free(text);
}

static void
test_chart_findings(void **state)
{
    static const char *const states[] = {"off", "on", NULL};
    static const char *const events[] = {"press", NULL};
    static const char *const actions[] = {"nothing", "ring", NULL};
    const struct rp_chart_names names = {
        .states = states, .events = events, .actions = actions};
    struct rp_chart chart;
    struct rp_error error;

    (void)state;
    RpError_Init(&error);
    assert_int_equal(RpChart_Parse(&chart, &names,
                                   RP_STR("# bell\noff press on ring\n"),
                                   "bell", &error),
                     RP_OK);
    assert_int_equal(RpChart_Step(&chart, 0, 0).next, 1);
    assert_int_equal(RpChart_Step(&chart, 0, 0).action, 1);
    assert_int_equal(RpChart_Step(&chart, 1, 0).next, 1);
    assert_int_equal(RpChart_Step(&chart, 1, 0).action, 0);
    assert_int_equal(
        RpChart_Parse(&chart, &names,
                      RP_STR("off press on ring\noff press off ring\n"
                             "off push on ring\noff press on\n"),
                      "bell", &error),
        RP_ERR_FORMAT);
    assert_int_equal(RpError_Count(&error), 3);
    assert_string_equal(RpError_Get(&error, 0)->place->str, "bell line 2");
    assert_string_equal(RpError_Get(&error, 1)->place->str, "bell line 3");
    assert_string_equal(RpError_Get(&error, 2)->place->str, "bell line 4");
    RpError_Clear(&error);
}

/* The flow chart has a transition for every event in every state, except for
 * events that cannot happen in that state. An omission would make the agent
 * ignore the event silently. */
static void
test_flow_chart_is_complete(void **state)
{
    struct rp_chart chart;

    (void)state;
    assert_int_equal(RpFlowChart_Load(&chart, NULL), RP_OK);
    for (int from = RP_FLOW_SYN_SENT; from < RP_FLOW_STATE_COUNT; from++) {
        for (int event = 0; event < RP_FLOW_EVENT_COUNT; event++) {
            bool impossible =
                (event == RP_FLOW_EV_FOREIGN_ACK &&
                 from != RP_FLOW_SYN_ANSWERED) ||
                (event == RP_FLOW_EV_MAYBE_OWNED &&
                 from != RP_FLOW_REDIRECTED && from != RP_FLOW_SYN_SENT &&
                 from != RP_FLOW_PRESUMED_OWNED) ||
                (event == RP_FLOW_EV_SYN_SENT_BACK &&
                 from != RP_FLOW_REDIRECTED) ||
                (event == RP_FLOW_EV_TIMER_NO_HOST &&
                 from != RP_FLOW_QUERYING_HOST) ||
                (event == RP_FLOW_EV_HOST_RESTARTED &&
                 from != RP_FLOW_ESTABLISHED &&
                 from != RP_FLOW_CALLER_CLOSED &&
                 from != RP_FLOW_HOST_CLOSED &&
                 from != RP_FLOW_PRESUMED_OWNED) ||
                (event == RP_FLOW_EV_LATE && (from == RP_FLOW_QUERYING_HOST ||
                                              from == RP_FLOW_PRESUMED_OWNED));
            assert_int_equal(
                RpChart_Step(&chart, (uint8_t)from, (uint8_t)event).listed,
                !impossible);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_numbers),
        cmocka_unit_test(test_endpoints),
        cmocka_unit_test(test_labels),
        cmocka_unit_test(test_findings_are_collected),
        cmocka_unit_test(test_log_lines),
        cmocka_unit_test(test_chart_findings),
        cmocka_unit_test(test_flow_chart_is_complete),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
