/* Replies to operators' queries. */
#include "rp_status.h"

#include <string.h>

/* Adds an upstream to its service's row. LOST and GONE upstreams do not count
 * towards the load. */
static void
count_upstream(struct rp_msg_service_info *row,
               const struct rp_upstream *upstream)
{
    switch (upstream->state) {
    case RP_UPSTREAM_READY:
        row->ready++;
        row->slots += upstream->last_announce.slots;
        break;
    case RP_UPSTREAM_DRAINING:
        row->draining++;
        break;
    case RP_UPSTREAM_LOST:
        row->lost++;
        return;
    case RP_UPSTREAM_GONE:
    case RP_UPSTREAM_UNHEARD:
        return;
    }
    row->flows += upstream->last_announce.flows;
    row->busy += upstream->last_announce.busy;
}

static void
append_service(const struct rp_registry *registry,
               const struct rp_catalog_entry *entry, GArray *rows)
{
    struct rp_msg_service_info row = {.name = entry->name,
                                      .id = entry->id,
                                      .address = entry->document.address.ip,
                                      .port = entry->document.address.port,
                                      .revision = entry->revision};
    GPtrArray *list = RpRegistry_List(registry, &entry->name);

    for (guint i = 0; i < list->len; i++) {
        count_upstream(&row, g_ptr_array_index(list, i));
    }
    g_ptr_array_unref(list);
    g_array_append_val(rows, row);
}

static GArray *
list_services(const struct rp_catalog *catalog,
              const struct rp_registry *registry, const struct rp_name *filter)
{
    GArray *rows = RpSchema_NewList(&rp_msg_service_info_schema);
    GPtrArray *entries = RpCatalog_List(catalog);

    for (guint i = 0; i < entries->len; i++) {
        const struct rp_catalog_entry *entry = g_ptr_array_index(entries, i);
        if (!filter || RpName_Equal(&entry->name, filter)) {
            append_service(registry, entry, rows);
        }
    }
    g_ptr_array_unref(entries);
    return rows;
}

void
RpStatus_FillServices(const struct rp_catalog *catalog,
                      const struct rp_registry *registry, struct rp_msg *msg)
{
    *msg = (struct rp_msg){.type = RP_MSG_SERVICES};
    msg->services.revision = RpCatalog_Revision(catalog);
    msg->services.services = list_services(catalog, registry, NULL);
}

void
RpStatus_FillDocument(const struct rp_catalog *catalog,
                      const struct rp_name *service, struct rp_msg *msg)
{
    const struct rp_catalog_entry *entry = RpCatalog_Find(catalog, service);

    *msg = (struct rp_msg){.type = RP_MSG_DOCUMENT};
    msg->document.service = *service;
    msg->document.code = entry ? RP_OK : RP_ERR_NOT_FOUND;
    msg->document.document = g_string_new(NULL);
    if (entry) {
        msg->document.revision = entry->revision;
        g_string_append_len(msg->document.document, entry->text->str,
                            (gssize)entry->text->len);
    }
}

static GArray *
list_upstreams(const struct rp_registry *registry,
               const struct rp_name *filter, int64_t now)
{
    GArray *rows = RpSchema_NewList(&rp_msg_upstream_info_schema);
    GPtrArray *list = RpRegistry_List(registry, filter);

    for (guint i = 0; i < list->len; i++) {
        const struct rp_upstream *upstream = g_ptr_array_index(list, i);
        const struct rp_msg_announce *last = &upstream->last_announce;
        int64_t heard_at = upstream->lease_deadline -
                           last->lease_ms * RP_US_PER_MS;
        const struct rp_msg_upstream_info row = {
            .upstream = last->upstream,
            .service = last->service,
            .zone = last->zone,
            .agent_ip = last->agent_ip,
            .agent_port = last->agent_port,
            .state = (uint8_t)upstream->state,
            .slots = last->slots,
            .flows = last->flows,
            .busy = last->busy,
            .heard_here = upstream->source_replica.len == 0,
            .age_ms = (uint32_t)CLAMP((now - heard_at) / RP_US_PER_MS, 0,
                                      UINT32_MAX)};
        g_array_append_val(rows, row);
    }
    g_ptr_array_unref(list);
    return rows;
}

void
RpStatus_FillStatus(const struct rp_catalog *catalog,
                    const struct rp_registry *registry,
                    const struct rp_distribution *distribution, int64_t now,
                    const struct rp_name *service, struct rp_msg *msg)
{
    const struct rp_name *filter = service && service->len ? service : NULL;

    *msg = (struct rp_msg){.type = RP_MSG_STATUS};
    msg->status.revision = RpCatalog_Revision(catalog);
    msg->status.replicas = RpSchema_NewList(&rp_msg_replica_info_schema);
    msg->status.services = list_services(catalog, registry, filter);
    msg->status.nodes = RpDistribution_ListNodes(distribution, now);
    msg->status.upstreams = list_upstreams(registry, filter, now);
    msg->status.evacuated = RpCatalog_ListEvacuated(catalog);
}
