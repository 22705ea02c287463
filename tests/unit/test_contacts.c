/* Tests which addresses a process tries when it looks for control. */
#include <glib.h>

#include "check.h"
#include "rp_contacts.h"

#define PORT 7080
#define SELF 99

static uint32_t
first(uint32_t upper_bound)
{
    (void)upper_bound;
    return 0;
}

static uint32_t
last(uint32_t upper_bound)
{
    return upper_bound - 1;
}

static struct rp_endpoint
at(uint32_t ip)
{
    return (struct rp_endpoint){.ip = ip, .port = PORT};
}

/* Makes a list of the addresses from `from` to `to`. */
static struct rp_endpoints
range(uint32_t from, uint32_t to)
{
    struct rp_endpoints list = {0};

    for (uint32_t ip = from; ip <= to; ip++) {
        list.item[list.count++] = at(ip);
    }
    return list;
}

static void
start(struct rp_contacts *contacts, struct rp_endpoints settings)
{
    RpContacts_Init(contacts, at(SELF), &settings, first);
}

static void
assert_next(struct rp_contacts *contacts, uint32_t ip)
{
    struct rp_endpoint to;

    assert_true(RpContacts_Next(contacts, &to));
    assert_int_equal(to.ip, ip);
}

/* Guards against a process that never finds control because all addresses that
 * it was started with are those of relays (issue 34). */
static void
test_hints_are_tried_next(void **state)
{
    struct rp_contacts contacts;
    struct rp_endpoints hints = range(11, 13);

    (void)state;
    start(&contacts, range(1, 3));
    assert_next(&contacts, 1);
    RpContacts_SetHints(&contacts, &hints, last);
    assert_next(&contacts, 13);
    assert_next(&contacts, 11);
    assert_next(&contacts, 12);
    assert_next(&contacts, 1);
    assert_next(&contacts, 2);
    assert_next(&contacts, 3);
    assert_next(&contacts, 13);
}

/* Guards against hints, which may be old, that take the place of what control
 * itself has told. */
static void
test_told_addresses_come_first(void **state)
{
    struct rp_contacts contacts;
    struct rp_endpoints told = range(21, 22);
    struct rp_endpoints hints = range(11, 11);

    (void)state;
    start(&contacts, range(1, 1));
    RpContacts_SetTold(&contacts, &told);
    assert_next(&contacts, 21);
    assert_next(&contacts, 22);
    RpContacts_SetHints(&contacts, &hints, first);
    assert_next(&contacts, 11);
    assert_next(&contacts, 1);
    assert_next(&contacts, 21);
    RpContacts_DropHints(&contacts);
    assert_next(&contacts, 22);
    assert_next(&contacts, 1);
}

/* Guards against an empty answer of a relay that clears what is known. */
static void
test_empty_hints_change_nothing(void **state)
{
    struct rp_contacts contacts;
    struct rp_endpoints hints = range(11, 12);
    struct rp_endpoints none = {0};

    (void)state;
    start(&contacts, range(1, 1));
    RpContacts_SetHints(&contacts, &hints, first);
    assert_next(&contacts, 11);
    RpContacts_SetHints(&contacts, &none, first);
    assert_next(&contacts, 12);
}

/* Guards against attempts to reach instances that have left for good: each
 * list is replaced as a whole. */
static void
test_addresses_that_left_are_forgotten(void **state)
{
    struct rp_contacts contacts;
    struct rp_endpoints told = range(1, 5);
    struct rp_endpoints fewer = range(2, 5);
    struct rp_endpoints settings = range(3, 3);

    (void)state;
    start(&contacts, range(1, 3));
    RpContacts_SetTold(&contacts, &told);
    RpContacts_SetTold(&contacts, &fewer);
    assert_true(RpContacts_Contains(&contacts, at(1)));
    RpContacts_SetSettings(&contacts, &settings);
    assert_false(RpContacts_Contains(&contacts, at(1)));
    assert_true(RpContacts_Contains(&contacts, at(2)));
    for (int i = 0; i < 20; i++) {
        struct rp_endpoint to;
        assert_true(RpContacts_Next(&contacts, &to));
        assert_int_not_equal(to.ip, 1);
    }
}

/* Guards against a relay that asks itself, and against lists beyond their
 * bound. */
static void
test_lists_are_bounded_and_without_self(void **state)
{
    struct rp_contacts contacts;
    struct rp_endpoints own = range(SELF, SELF);
    struct rp_endpoints list;
    struct rp_endpoint to;
    struct rp_msg msg;

    (void)state;
    start(&contacts, own);
    RpContacts_SetTold(&contacts, &own);
    RpContacts_SetHints(&contacts, &own, first);
    assert_false(RpContacts_Next(&contacts, &to));

    struct rp_endpoints full = range(1, RP_ENDPOINTS_MAX);
    RpContacts_ToMsg(&full, &msg);
    const struct rp_msg_control_address extra = {.ip = 77, .port = PORT};
    g_array_append_val(msg.controls.list, extra);
    RpContacts_FromMsg(&msg.controls, &list);
    assert_int_equal(list.count, RP_ENDPOINTS_MAX);
    RpMsg_Clear(&msg);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_hints_are_tried_next),
        cmocka_unit_test(test_told_addresses_come_first),
        cmocka_unit_test(test_empty_hints_change_nothing),
        cmocka_unit_test(test_addresses_that_left_are_forgotten),
        cmocka_unit_test(test_lists_are_bounded_and_without_self),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
