/* Request bodies from another writer: texts that are not JSON, and texts that
 * are built to exhaust the stack or the memory of the process that decodes
 * them, up to the largest body that a port takes. */
#include <glib.h>
#include <string.h>
#include <sys/resource.h>

#include "check.h"
#include "rp_platform.h"

#define SMALL_MACHINE_BYTES (80u << 20)
/* Half of the smallest machine: the other half holds the state. */
#define MEMORY_BUDGET_BYTES (SMALL_MACHINE_BYTES / 2)

#define EDITION_HEAD                                                          \
    "{\"version\":3,\"services\":[{\"name\":\"lens\"}],\"routes\":["
#define ROUTE(timeout)                                                        \
    "{\"host\":\"10.1.0.1\",\"path-prefix\":\"/80/\",\"route-type\":"         \
    "\"download\",\"timeout-ms\":" timeout ",\"service\":\"lens\"}"
#define EDITION(timeout, rest) EDITION_HEAD ROUTE(timeout) "]" rest "}"
#define REPORT(seq, rest)                                                     \
    "{\"service\":\"lens\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","       \
    "\"version\":\"v1\",\"slots\":7,\"state\":\"ready\",\"cold-left-ms\":0,"  \
    "\"born\":1,\"seq\":" seq rest "}"

static enum rp_code
decode_edition(struct rp_str body, size_t body_max)
{
    struct rp_edition edition;
    struct rp_error error;

    RpError_Init(&error);
    enum rp_code code = RpPlatform_DecodeEdition(body, body_max, &edition,
                                                 &error);
    assert_int_equal(code == RP_OK, RpError_Count(&error) == 0);
    RpError_Clear(&error);
    RpEdition_Clear(&edition);
    return code;
}

static enum rp_code
decode_report(struct rp_str body)
{
    struct rp_host_report report;
    struct rp_error error;

    RpError_Init(&error);
    enum rp_code code = RpPlatform_DecodeReport(
        RP_STR("i-1"), body, RP_PLATFORM_REPORT_MAX, &report, &error);
    assert_int_equal(code == RP_OK, RpError_Count(&error) == 0);
    RpError_Clear(&error);
    return code;
}

/* Guards against bodies that are acknowledged and obeyed though no reader of
 * JSON can read them back. */
static void
test_only_json_is_accepted(void **state)
{
    static const struct {
        const char *body;
        bool is_valid;
    } cases[] = {
        {EDITION("1500", ""), true},
        {" \t\r\n" EDITION("1500", "") "\n ", true},
        {EDITION("1500", ",\"x\":[1.5e3,true,null,\"\\u00e4\\u0000\"]"), true},
        {EDITION("1500", "") EDITION("1500", ""), false},
        {EDITION("1500", "") ",", false},
        {EDITION("1500", "") "x", false},
        {EDITION("01500", ""), false},
        {EDITION("0x5dc", ""), false},
        {EDITION("+1500", ""), false},
        {EDITION("1500.", ""), false},
        {EDITION("1500", ",\"x\":.5"), false},
        {EDITION("1500", ",\"x\":'y'"), false},
        {EDITION("1500", ",'x':1"), false},
        {EDITION("1500", ",x:1"), false},
        {EDITION("1500", ",\"x\":NaN"), false},
        {EDITION("1500", ",\"x\":Infinity"), false},
        {EDITION("1500", ",\"x\":True"), false},
        {EDITION("1500", ",\"x\":[1,]"), false},
        {EDITION("1500", ",\"x\":[,1]"), false},
        {EDITION("1500", ",\"x\":1,"), false},
        {EDITION("1500", ",\"x\" 1"), false},
        {EDITION("1500", "/* comment */"), false},
        {EDITION("1500", "// comment\n"), false},
        {EDITION("1500", ",\"x\":\"a\nb\""), false},
        {EDITION("1500", ",\"x\":\"\\q\""), false},
        {EDITION("1500", ",\"x\":\"\\ud800\""), false},
        {EDITION("1500", ",\"x\":\"\xff\""), false},
        {"\xef\xbb\xbf" EDITION("1500", ""), false},
        {EDITION_HEAD ROUTE("1500") "]", false},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        enum rp_code code = decode_edition(RpStr_FromC(cases[i].body),
                                           RP_PLATFORM_EDITION_MAX);
        if ((code == RP_OK) != cases[i].is_valid) {
            print_error("%s\n", cases[i].body);
        }
        assert_int_equal(code == RP_OK, cases[i].is_valid);
    }
    assert_int_equal(
        decode_edition((struct rp_str){.data = EDITION("1", "") "\0",
                                       .len = sizeof EDITION("1", "")},
                       RP_PLATFORM_EDITION_MAX),
        RP_ERR_FORMAT);
}

/* Guards against a report whose numbers overflow into others. */
static void
test_numbers_out_of_range(void **state)
{
    static const struct {
        const char *body;
        bool is_valid;
    } cases[] = {
        {REPORT("1", ""), true},
        {REPORT("9223372036854775807", ""), true},
        {REPORT("9223372036854775808", ""), false},
        {REPORT("-1", ""), false},
        {REPORT("1e3", ""), false},
        {REPORT("1", ",\"born\":1e999"), false},
        {REPORT("1", ",\"born\":-5"), false},
        {REPORT("1", ",\"cold-left-ms\":4294967296"), false},
        {REPORT("1", ",\"unknown\":99999999999999999999999999"), false},
        {REPORT("1", ",\"slots\":65535"), true},
        {REPORT("1", ",\"slots\":65536"), false},
        {REPORT("1", ",\"service\":\"le\\u0000ns\""), false},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        assert_int_equal(decode_report(RpStr_FromC(cases[i].body)) == RP_OK,
                         cases[i].is_valid);
    }
}

/* Appends `unit` to `out` as often as it fits below `size` bytes. */
static void
repeat(GString *out, const char *unit, size_t size)
{
    while (out->len + strlen(unit) <= size) {
        g_string_append(out, unit);
    }
}

/* One form of a body: a head, a unit that is repeated, a second one that is
 * repeated as often, and an end. */
static const struct form {
    const char *head;
    const char *unit;
    const char *closing;
    const char *end;
} forms[] = {
    {"", "[", "", ""},
    {"", "[", "]", ""},
    {"", "{\"a\":", "}", ""},
    {"{\"x\":", "[", "]", "}"},
    {"{\"x\":", "{\"a\":", "}", "}"},
    {"{\"x\":[0", ",0", "", "]}"},
    {"{\"x\":[0", ",[]", "", "]}"},
    {"{\"x\":[0", ",{}", "", "]}"},
    {"{\"x\":[0", ",{\"a\":1}", "", "]}"},
    {"{\"x\":[0", ",1.5", "", "]}"},
    {"{\"x\":[\"\"", ",\"\"", "", "]}"},
    {"{\"x\":\"", "a", "", "\"}"},
    {"{\"x\":\"", "\\u0041", "", "\"}"},
    {"{\"x\":", "9", "", "}"},
    {"{\"x\":0.", "9", "", "}"},
    {"{\"version\":1,\"services\":[],\"routes\":[0", ",0", "", "]}"},
    {"{\"version\":1,\"services\":[],\"routes\":[{}", ",{}", "", "]}"},
    {"{\"version\":1,\"services\":[{}", ",{}", "", "],\"routes\":[]}"},
};

static GString *
make_body(const struct form *form, size_t size)
{
    GString *body = g_string_new(form->head);
    size_t rest = size - strlen(form->head) - strlen(form->end);

    if (*form->closing) {
        size_t count = rest / (strlen(form->unit) + strlen(form->closing));
        repeat(body, form->unit, body->len + count * strlen(form->unit));
        repeat(body, form->closing, body->len + count * strlen(form->closing));
    }
    else {
        repeat(body, form->unit, size - strlen(form->end));
    }
    return g_string_append(body, form->end);
}

static size_t
peak_memory(void)
{
    struct rusage usage;

    getrusage(RUSAGE_SELF, &usage);
    return (size_t)usage.ru_maxrss << 10;
}

/* Guards against one request that ends the process: by its depth, by the
 * number of its values, or by one finding for each of them. */
static void
test_largest_bodies(void **state)
{
    const size_t small_max = RpPlatform_EditionMax(SMALL_MACHINE_BYTES);
    size_t before = peak_memory();

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(forms); i++) {
        GString *body = make_body(&forms[i], small_max);
        struct rp_str text = {.data = body->str, .len = body->len};
        decode_edition(text, small_max);
        g_string_free(body, TRUE);
        body = make_body(&forms[i], RP_PLATFORM_REPORT_MAX);
        text = (struct rp_str){.data = body->str, .len = body->len};
        assert_int_not_equal(decode_report(text), RP_OK);
        g_string_free(body, TRUE);
        size_t peak = peak_memory();
        if (peak - before > MEMORY_BUDGET_BYTES) {
            print_error("%s%s%s: %zu bytes\n", forms[i].head, forms[i].unit,
                        forms[i].closing, peak - before);
        }
        assert_true(peak - before <= MEMORY_BUDGET_BYTES);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(forms); i++) {
        GString *body = make_body(&forms[i], RP_PLATFORM_EDITION_MAX);
        struct rp_str text = {.data = body->str, .len = body->len};
        decode_edition(text, RP_PLATFORM_EDITION_MAX);
        g_string_free(body, TRUE);
    }
}

/* What a machine of this size can take: the largest edition as it is sent. */
static void
test_edition_max(void **state)
{
    (void)state;
    assert_int_equal(RpPlatform_EditionMax(0), RP_PLATFORM_EDITION_MAX);
    assert_int_equal(RpPlatform_EditionMax(UINT64_C(4) << 30),
                     RP_PLATFORM_EDITION_MAX);
    assert_int_equal(RpPlatform_EditionMax(SMALL_MACHINE_BYTES), 1310720);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_only_json_is_accepted),
        cmocka_unit_test(test_numbers_out_of_range),
        cmocka_unit_test(test_largest_bodies),
        cmocka_unit_test(test_edition_max),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
