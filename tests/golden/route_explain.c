/* Prints what radishport route explain says for scenarios that control could
 * answer with. */
#include <glib.h>
#include <stdio.h>

#include "route_text.h"

struct scenario {
    const char *what;
    struct rp_route_question question;
    bool without_load;
    bool gathering;
    bool cut_off;
    uint32_t busy; /* of each upstream */
};

static struct rp_name
make_name(const char *text)
{
    struct rp_name name;

    RpName_Set(&name, RpStr_FromC(text));
    return name;
}

static struct rp_endpoint
make_endpoint(const char *text)
{
    struct rp_endpoint endpoint = {0};

    RpEndpoint_Parse(RpStr_FromC(text), &endpoint);
    return endpoint;
}

/* Adds upstream "SERVICE-INDEX" to a service and to the status. */
static void
add_upstream(struct rp_msg_service *service, GArray *loads, unsigned index,
             const char *zone, enum rp_upstream_state state, uint32_t busy)
{
    gchar *name = g_strdup_printf("%s-%u", service->name.data, index);
    const struct rp_msg_member member = {.upstream = make_name(name),
                                         .agent_ip = 0x0a000000u +
                                                     service->id * 16 + index,
                                         .agent_port = 8272,
                                         .slots = 3,
                                         .state = (uint8_t)state,
                                         .zone = make_name(zone)};
    const struct rp_msg_upstream_info load = {.upstream = member.upstream,
                                              .slots = 3,
                                              .flows = busy + 1,
                                              .busy = busy,
                                              .heard_here = index != 2,
                                              .age_ms = 100 * index};

    g_array_append_val(service->members, member);
    g_array_append_val(loads, load);
    g_free(name);
}

static struct rp_msg_service
make_service(const char *name, uint32_t id)
{
    return (struct rp_msg_service){
        .name = make_name(name),
        .id = id,
        .incarnation = id,
        .flows_per_upstream = 2000,
        .members = RpSchema_NewList(&rp_msg_member_schema)};
}

static void
add_vip(GArray *vips, const char *address, uint32_t first, uint32_t second)
{
    struct rp_endpoint endpoint = make_endpoint(address);
    struct rp_msg_vip vip = {
        .address = endpoint.ip,
        .port = endpoint.port,
        .priority = 2,
        .timeout_ms = 1500,
        .target_ms = 300,
        .targets = RpSchema_NewList(&rp_msg_target_schema)};
    const struct rp_msg_target targets[] = {
        {.service_id = 1, .weight = first},
        {.service_id = 2, .weight = second}};

    g_array_append_vals(vip.targets, targets, G_N_ELEMENTS(targets));
    g_array_append_val(vips, vip);
}

static void
print_scenario(const struct scenario *scenario)
{
    struct rp_msg msg = {.type = RP_MSG_TABLE};
    struct rp_msg status = {.type = RP_MSG_STATUS};
    struct rp_msg_service lens = make_service("lens", 1);
    struct rp_msg_service shelf = make_service("shelf", 2);
    uint32_t busy = scenario->busy;
    bool served;

    status.status.upstreams = RpSchema_NewList(&rp_msg_upstream_info_schema);
    add_upstream(&lens, status.status.upstreams, 1, "ro-a", RP_UPSTREAM_READY,
                 busy);
    add_upstream(&lens, status.status.upstreams, 2, "ro-a", RP_UPSTREAM_READY,
                 busy);
    add_upstream(&lens, status.status.upstreams, 3, "ro-b", RP_UPSTREAM_READY,
                 busy / 2);
    add_upstream(&lens, status.status.upstreams, 4, "ro-b",
                 RP_UPSTREAM_DRAINING, 1);
    add_upstream(&lens, status.status.upstreams, 5, "ro-b", RP_UPSTREAM_LOST,
                 0);
    add_upstream(&shelf, status.status.upstreams, 1, "ro-a",
                 RP_UPSTREAM_DRAINING, 0);
    lens.cold_per_1000_s = 2500;
    lens.address = make_endpoint("10.80.0.1:7000").ip;
    lens.port = 7000;
    msg.table = (struct rp_msg_table){
        .revision = 7,
        .complete = 1,
        .gathering = scenario->gathering,
        .cut_off = scenario->cut_off,
        .services = RpSchema_NewList(&rp_msg_service_schema),
        .vips = RpSchema_NewList(&rp_msg_vip_schema)};
    g_array_append_val(msg.table.services, lens);
    g_array_append_val(msg.table.services, shelf);
    add_vip(msg.table.vips, "198.18.0.1:443", 100, 0);
    add_vip(msg.table.vips, "198.18.0.2:443", 50, 50);
    add_vip(msg.table.vips, "198.18.0.3:443", 0, 1);
    GPtrArray *steps = RpRouteText_Explain(
        &msg.table, scenario->without_load ? NULL : &status.status,
        &scenario->question, &served);
    printf("# %s\n", scenario->what);
    for (guint i = 0; i < steps->len; i++) {
        printf("%s\n", (const char *)steps->pdata[i]);
    }
    printf("served=%d\n\n", served);
    g_ptr_array_unref(steps);
    RpMsg_Clear(&msg);
    RpMsg_Clear(&status);
}

static struct rp_route_question
ask(const char *address, const char *from, const char *zone, uint32_t weight)
{
    return (struct rp_route_question){.address = make_endpoint(address),
                                      .from = make_endpoint(from),
                                      .zone = make_name(zone),
                                      .zone_weight = weight};
}

int
main(void)
{
    struct rp_route_question open = ask("198.18.0.1:443", "10.9.0.1:4000", "",
                                        1);

    open.open = true;
    const struct scenario scenarios[] = {
        {.what = "a new flow, hosts with free slots",
         .question = ask("198.18.0.1:443", "10.9.0.1:4000", "", 1)},
        {.what = "through a balancer that prefers its zone",
         .question = ask("198.18.0.1:443", "10.9.0.1:4000", "ro-a", 8)},
        {.what = "all slots are busy",
         .question = ask("198.18.0.1:443", "10.9.0.1:4000", "", 1),
         .busy = 7},
        {.what = "overloaded: the last candidate refuses",
         .question = ask("198.18.0.1:443", "10.9.0.1:4000", "", 1),
         .busy = 24},
        {.what = "control does not know the load",
         .question = ask("198.18.0.1:443", "10.9.0.1:4001", "", 1),
         .without_load = true},
        {.what = "a packet of an open flow", .question = open},
        {.what = "the service's own address",
         .question = ask("10.80.0.1:7000", "10.9.0.1:4000", "", 1)},
        {.what = "two services behind an address, and a sample of callers",
         .question = ask("198.18.0.2:443", "0.0.0.0:0", "", 1)},
        {.what = "no upstream is ready",
         .question = ask("198.18.0.3:443", "10.9.0.1:4000", "", 1)},
        {.what = "no upstream is ready, but control has just started",
         .question = ask("198.18.0.3:443", "10.9.0.1:4000", "", 1),
         .gathering = true},
        {.what = "an unknown address, and control is cut off",
         .question = ask("198.18.0.9:443", "10.9.0.1:4000", "", 1),
         .cut_off = true},
        {.what = "an unknown address for a sample of callers",
         .question = ask("198.18.0.9:443", "0.0.0.0:0", "", 1)},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        print_scenario(&scenarios[i]);
    }
    return 0;
}
