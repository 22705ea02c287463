/* Checks of editions. */
#include "rp_edition.h"

#include "rp_endpoint.h"

void
RpEdition_Init(struct rp_edition *edition)
{
    *edition = (struct rp_edition){
        .services = RpSchema_NewList(&rp_edition_service_schema),
        .vips = RpSchema_NewList(&rp_edition_vip_schema),
        .content = g_string_new(NULL)};
}

void
RpEdition_Clear(struct rp_edition *edition)
{
    RpSchema_Clear(&rp_edition_schema, edition);
}

/* Adds a finding whose place is the operator's name of the virtual address. */
static enum rp_code
add_vip_finding(struct rp_error *error, const struct rp_edition_vip *vip,
                const char *message, const char *detail)
{
    return RpError_Add(error, RP_ERR_DOCUMENT, vip->name->str, "%s%s", message,
                       detail);
}

/* Adds the names of all services to `names`, and a finding for each service
 * that is listed twice. */
static enum rp_code
collect_service_names(const struct rp_edition *edition, GHashTable *names,
                      struct rp_error *error)
{
    enum rp_code code = RP_OK;

    for (guint i = 0; i < edition->services->len; i++) {
        struct rp_edition_service *service = &g_array_index(
            edition->services, struct rp_edition_service, i);
        if (!g_hash_table_add(names, &service->name)) {
            code = RpError_Add(error, RP_ERR_DOCUMENT, service->name.data,
                               "service is listed twice");
        }
    }
    return code;
}

static enum rp_code
check_targets(const struct rp_edition_vip *vip, GHashTable *names,
              struct rp_error *error)
{
    enum rp_code code = RP_OK;
    uint64_t weight = 0;

    for (guint i = 0; i < vip->targets->len; i++) {
        const struct rp_edition_target *target = &g_array_index(
            vip->targets, struct rp_edition_target, i);
        weight += target->weight;
        if (!g_hash_table_contains(names, &target->service)) {
            code = add_vip_finding(error, vip,
                                   "target is not a service of this edition: ",
                                   target->service.data);
        }
    }
    if (weight == 0 || weight > UINT32_MAX) {
        code = RpError_Add(error, RP_ERR_DOCUMENT, vip->name->str,
                           "sum of target weights is %" G_GUINT64_FORMAT
                           ", must be from 1 to %u",
                           weight, UINT32_MAX);
    }
    return code;
}

static enum rp_code
check_vip(const struct rp_edition_vip *vip, GHashTable *names,
          GHashTable *addresses, struct rp_error *error)
{
    struct rp_endpoint address = {.ip = vip->address, .port = vip->port};
    guint64 key = RpEndpoint_Key(address);
    char message[RP_ENDPOINT_TEXT_MAX];
    enum rp_code code = check_targets(vip, names, error);

    if (vip->port == 0) {
        code = add_vip_finding(error, vip, "port must be from 1 to 65535", "");
    }
    if (vip->timeout_ms == 0) {
        code = add_vip_finding(error, vip, "timeout must be at least 1 ms",
                               "");
    }
    if (!g_hash_table_add(addresses, g_memdup2(&key, sizeof key))) {
        code = add_vip_finding(
            error, vip, "address is already used by another virtual address: ",
            RpEndpoint_Format(address, message));
    }
    return code;
}

enum rp_code
RpEdition_Check(const struct rp_edition *edition, struct rp_error *error)
{
    GHashTable *names = g_hash_table_new(RpName_Hash, RpName_EqualKeys);
    GHashTable *addresses = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                                  g_free, NULL);
    enum rp_code code = collect_service_names(edition, names, error);

    if (edition->vips->len > RP_EDITION_MAX_VIPS) {
        code = RpError_Add(error, RP_ERR_LIMIT, "edition",
                           "has %u virtual addresses, the limit is %d",
                           edition->vips->len, RP_EDITION_MAX_VIPS);
    }
    for (guint i = 0; i < edition->vips->len; i++) {
        enum rp_code vip_code = check_vip(
            &g_array_index(edition->vips, struct rp_edition_vip, i), names,
            addresses, error);
        code = vip_code == RP_OK ? code : vip_code;
    }
    g_hash_table_destroy(names);
    g_hash_table_destroy(addresses);
    return code;
}
