/* Schemas of all messages, and their encoding. The order of the fields in a
 * schema is their order on the wire: new fields go to the end. */
#include "rp_msg.h"

#include <string.h>

#define UINT(type, member) RP_FIELD(RP_FIELD_UINT, type, member)
#define NAME(type, member) RP_FIELD(RP_FIELD_NAME, type, member)
#define TEXT(type, member) RP_FIELD(RP_FIELD_TEXT, type, member)
#define BLOB(type, member) RP_FIELD(RP_FIELD_BLOB, type, member)
#define LIST(type, member, schema) RP_FIELD_LIST_OF(type, member, &(schema))

static const struct rp_field hello_fields[] = {
    UINT(rp_msg_hello, version), UINT(rp_msg_hello, role),
    NAME(rp_msg_hello, name),    NAME(rp_msg_hello, zone),
    BLOB(rp_msg_hello, nonce),   UINT(rp_msg_hello, two_way),
};
/* Processes of earlier releases do not send the last field. */
static const struct rp_schema rp_msg_hello_schema = {
    .fields = hello_fields,
    .count = G_N_ELEMENTS(hello_fields),
    .required = G_N_ELEMENTS(hello_fields) - 1,
    .size = sizeof(struct rp_msg_hello)};

static const struct rp_field ping_fields[] = {
    UINT(rp_msg_ping, number),
};
static const struct rp_schema rp_msg_ping_schema = RP_SCHEMA(rp_msg_ping,
                                                             ping_fields);

static const struct rp_field announce_fields[] = {
    NAME(rp_msg_announce, upstream),   NAME(rp_msg_announce, service),
    NAME(rp_msg_announce, zone),       UINT(rp_msg_announce, agent_ip),
    UINT(rp_msg_announce, agent_port), UINT(rp_msg_announce, slots),
    UINT(rp_msg_announce, state),      UINT(rp_msg_announce, incarnation),
    UINT(rp_msg_announce, sequence),   UINT(rp_msg_announce, lease_ms),
    UINT(rp_msg_announce, flows),      UINT(rp_msg_announce, busy),
};
static const struct rp_schema rp_msg_announce_schema = RP_SCHEMA(
    rp_msg_announce, announce_fields);

static const struct rp_field subscribe_fields[] = {
    NAME(rp_msg_subscribe, service),
    UINT(rp_msg_subscribe, revision),
};
static const struct rp_schema rp_msg_subscribe_schema = RP_SCHEMA(
    rp_msg_subscribe, subscribe_fields);

static const struct rp_field member_fields[] = {
    NAME(rp_msg_member, upstream),   UINT(rp_msg_member, agent_ip),
    UINT(rp_msg_member, agent_port), UINT(rp_msg_member, slots),
    UINT(rp_msg_member, state),      NAME(rp_msg_member, zone),
};
const struct rp_schema rp_msg_member_schema = RP_SCHEMA(rp_msg_member,
                                                        member_fields);

static const struct rp_field service_fields[] = {
    NAME(rp_msg_service, name),
    UINT(rp_msg_service, id),
    UINT(rp_msg_service, incarnation),
    UINT(rp_msg_service, address),
    UINT(rp_msg_service, port),
    UINT(rp_msg_service, generation),
    UINT(rp_msg_service, flows_per_upstream),
    UINT(rp_msg_service, retries_percent),
    UINT(rp_msg_service, silence_ms),
    UINT(rp_msg_service, long_slots_percent),
    LIST(rp_msg_service, members, rp_msg_member_schema),
    UINT(rp_msg_service, warmup_ms),
    UINT(rp_msg_service, cold_per_1000_s),
};
/* Replicas of earlier releases do not send the limits of cold hosts. */
const struct rp_schema rp_msg_service_schema = {
    .fields = service_fields,
    .count = G_N_ELEMENTS(service_fields),
    .required = G_N_ELEMENTS(service_fields) - 2,
    .size = sizeof(struct rp_msg_service)};

static const struct rp_field removed_fields[] = {
    UINT(rp_msg_removed, id),
};
const struct rp_schema rp_msg_removed_schema = RP_SCHEMA(rp_msg_removed,
                                                         removed_fields);

static const struct rp_field target_fields[] = {
    UINT(rp_msg_target, service_id),
    UINT(rp_msg_target, weight),
};
const struct rp_schema rp_msg_target_schema = RP_SCHEMA(rp_msg_target,
                                                        target_fields);

static const struct rp_field vip_fields[] = {
    UINT(rp_msg_vip, address),
    UINT(rp_msg_vip, port),
    UINT(rp_msg_vip, kind),
    UINT(rp_msg_vip, priority),
    UINT(rp_msg_vip, timeout_ms),
    UINT(rp_msg_vip, target_ms),
    LIST(rp_msg_vip, targets, rp_msg_target_schema),
};
const struct rp_schema rp_msg_vip_schema = RP_SCHEMA(rp_msg_vip, vip_fields);

static const struct rp_field removed_vip_fields[] = {
    UINT(rp_msg_removed_vip, address),
    UINT(rp_msg_removed_vip, port),
};
const struct rp_schema rp_msg_removed_vip_schema = RP_SCHEMA(
    rp_msg_removed_vip, removed_vip_fields);

static const struct rp_field edition_service_fields[] = {
    NAME(rp_edition_service, name),
    UINT(rp_edition_service, flows_per_upstream),
    UINT(rp_edition_service, warmup_ms),
    UINT(rp_edition_service, cold_per_1000_s),
};
/* Editions that earlier releases have stored lack the limits of cold hosts. */
const struct rp_schema rp_edition_service_schema = {
    .fields = edition_service_fields,
    .count = G_N_ELEMENTS(edition_service_fields),
    .required = G_N_ELEMENTS(edition_service_fields) - 2,
    .size = sizeof(struct rp_edition_service)};

static const struct rp_field edition_target_fields[] = {
    NAME(rp_edition_target, service),
    UINT(rp_edition_target, weight),
};
const struct rp_schema rp_edition_target_schema = RP_SCHEMA(
    rp_edition_target, edition_target_fields);

static const struct rp_field edition_vip_fields[] = {
    TEXT(rp_edition_vip, name),
    UINT(rp_edition_vip, address),
    UINT(rp_edition_vip, port),
    UINT(rp_edition_vip, kind),
    UINT(rp_edition_vip, priority),
    UINT(rp_edition_vip, timeout_ms),
    UINT(rp_edition_vip, target_ms),
    LIST(rp_edition_vip, targets, rp_edition_target_schema),
};
const struct rp_schema rp_edition_vip_schema = RP_SCHEMA(rp_edition_vip,
                                                         edition_vip_fields);

static const struct rp_field edition_fields[] = {
    UINT(rp_edition, version),
    UINT(rp_edition, idle_timeout_ms),
    LIST(rp_edition, services, rp_edition_service_schema),
    LIST(rp_edition, vips, rp_edition_vip_schema),
    TEXT(rp_edition, content),
};
const struct rp_schema rp_edition_schema = RP_SCHEMA(rp_edition,
                                                     edition_fields);

static const struct rp_field control_address_fields[] = {
    UINT(rp_msg_control_address, ip),
    UINT(rp_msg_control_address, port),
};
const struct rp_schema rp_msg_control_address_schema = RP_SCHEMA(
    rp_msg_control_address, control_address_fields);

static const struct rp_field controls_fields[] = {
    LIST(rp_msg_controls, list, rp_msg_control_address_schema),
    UINT(rp_msg_controls, leader_known),
    UINT(rp_msg_controls, leader_ip),
    UINT(rp_msg_controls, leader_port),
};
/* Replicas of earlier releases send the list only. */
static const struct rp_schema rp_msg_controls_schema = {
    .fields = controls_fields,
    .count = G_N_ELEMENTS(controls_fields),
    .required = 1,
    .size = sizeof(struct rp_msg_controls)};

static const struct rp_field zone_fields[] = {
    NAME(rp_msg_zone, name),
};
const struct rp_schema rp_msg_zone_schema = RP_SCHEMA(rp_msg_zone,
                                                      zone_fields);

static const struct rp_field table_fields[] = {
    UINT(rp_msg_table, revision),
    UINT(rp_msg_table, complete),
    BLOB(rp_msg_table, hash_key),
    LIST(rp_msg_table, services, rp_msg_service_schema),
    LIST(rp_msg_table, removed, rp_msg_removed_schema),
    LIST(rp_msg_table, vips, rp_msg_vip_schema),
    LIST(rp_msg_table, removed_vips, rp_msg_removed_vip_schema),
    UINT(rp_msg_table, gathering),
    UINT(rp_msg_table, cut_off),
    LIST(rp_msg_table, evacuated, rp_msg_zone_schema),
};
/* Replicas of earlier versions do not send the last two fields. */
static const struct rp_schema rp_msg_table_schema = {
    .fields = table_fields,
    .count = G_N_ELEMENTS(table_fields),
    .required = G_N_ELEMENTS(table_fields) - 2,
    .size = sizeof(struct rp_msg_table)};

static const struct rp_field confirm_fields[] = {
    UINT(rp_msg_confirm, revision),
    UINT(rp_msg_confirm, routed),
};
/* Earlier versions end after the first field. */
static const struct rp_schema rp_msg_confirm_schema = {
    .fields = confirm_fields,
    .count = G_N_ELEMENTS(confirm_fields),
    .required = G_N_ELEMENTS(confirm_fields) - 1,
    .size = sizeof(struct rp_msg_confirm)};

static const struct rp_field change_fields[] = {
    BLOB(rp_msg_change, id),       UINT(rp_msg_change, kind),
    UINT(rp_msg_change, has_base), UINT(rp_msg_change, base),
    NAME(rp_msg_change, service),  TEXT(rp_msg_change, document),
    NAME(rp_msg_change, zone),
};
/* Earlier releases do not send the last field. */
const struct rp_schema rp_msg_change_schema = {
    .fields = change_fields,
    .count = G_N_ELEMENTS(change_fields),
    .required = G_N_ELEMENTS(change_fields) - 1,
    .size = sizeof(struct rp_msg_change)};

static const struct rp_field finding_fields[] = {
    UINT(rp_msg_finding, code),
    TEXT(rp_msg_finding, place),
    TEXT(rp_msg_finding, text),
};
const struct rp_schema rp_msg_finding_schema = RP_SCHEMA(rp_msg_finding,
                                                         finding_fields);

static const struct rp_field change_reply_fields[] = {
    BLOB(rp_msg_change_reply, id),
    UINT(rp_msg_change_reply, code),
    UINT(rp_msg_change_reply, repeated),
    UINT(rp_msg_change_reply, revision),
    NAME(rp_msg_change_reply, service),
    LIST(rp_msg_change_reply, findings, rp_msg_finding_schema),
    UINT(rp_msg_change_reply, service_id),
    UINT(rp_msg_change_reply, is_change),
    UINT(rp_msg_change_reply, is_edition),
    NAME(rp_msg_change_reply, zone),
    UINT(rp_msg_change_reply, unchanged),
};
/* Replicas of earlier releases do not send the last two fields. */
const struct rp_schema rp_msg_change_reply_schema = {
    .fields = change_reply_fields,
    .count = G_N_ELEMENTS(change_reply_fields),
    .required = G_N_ELEMENTS(change_reply_fields) - 2,
    .size = sizeof(struct rp_msg_change_reply)};

static const struct rp_field query_fields[] = {
    UINT(rp_msg_query, kind),
    NAME(rp_msg_query, service),
};
static const struct rp_schema rp_msg_query_schema = RP_SCHEMA(rp_msg_query,
                                                              query_fields);

static const struct rp_field service_info_fields[] = {
    NAME(rp_msg_service_info, name),     UINT(rp_msg_service_info, id),
    UINT(rp_msg_service_info, address),  UINT(rp_msg_service_info, port),
    UINT(rp_msg_service_info, revision), UINT(rp_msg_service_info, ready),
    UINT(rp_msg_service_info, draining), UINT(rp_msg_service_info, lost),
    UINT(rp_msg_service_info, slots),    UINT(rp_msg_service_info, flows),
    UINT(rp_msg_service_info, busy),
};
const struct rp_schema rp_msg_service_info_schema = RP_SCHEMA(
    rp_msg_service_info, service_info_fields);

static const struct rp_field services_fields[] = {
    UINT(rp_msg_services, revision),
    LIST(rp_msg_services, services, rp_msg_service_info_schema),
};
static const struct rp_schema rp_msg_services_schema = RP_SCHEMA(
    rp_msg_services, services_fields);

static const struct rp_field document_fields[] = {
    UINT(rp_msg_document, code),
    UINT(rp_msg_document, revision),
    NAME(rp_msg_document, service),
    TEXT(rp_msg_document, document),
};
static const struct rp_schema rp_msg_document_schema = RP_SCHEMA(
    rp_msg_document, document_fields);

static const struct rp_field node_info_fields[] = {
    NAME(rp_msg_node_info, name),      NAME(rp_msg_node_info, zone),
    UINT(rp_msg_node_info, role),      UINT(rp_msg_node_info, confirmed),
    UINT(rp_msg_node_info, behind_ms), UINT(rp_msg_node_info, connected),
};
const struct rp_schema rp_msg_node_info_schema = RP_SCHEMA(rp_msg_node_info,
                                                           node_info_fields);

static const struct rp_field upstream_info_fields[] = {
    NAME(rp_msg_upstream_info, upstream),
    NAME(rp_msg_upstream_info, service),
    NAME(rp_msg_upstream_info, zone),
    UINT(rp_msg_upstream_info, agent_ip),
    UINT(rp_msg_upstream_info, agent_port),
    UINT(rp_msg_upstream_info, state),
    UINT(rp_msg_upstream_info, slots),
    UINT(rp_msg_upstream_info, flows),
    UINT(rp_msg_upstream_info, busy),
    UINT(rp_msg_upstream_info, heard_here),
    UINT(rp_msg_upstream_info, age_ms),
};
/* Replicas of earlier releases do not send the age. */
const struct rp_schema rp_msg_upstream_info_schema = {
    .fields = upstream_info_fields,
    .count = G_N_ELEMENTS(upstream_info_fields),
    .required = G_N_ELEMENTS(upstream_info_fields) - 2,
    .size = sizeof(struct rp_msg_upstream_info)};

static const struct rp_field replica_info_fields[] = {
    NAME(rp_msg_replica_info, name),
    NAME(rp_msg_replica_info, role),
    UINT(rp_msg_replica_info, term),
    UINT(rp_msg_replica_info, committed),
};
const struct rp_schema rp_msg_replica_info_schema = RP_SCHEMA(
    rp_msg_replica_info, replica_info_fields);

static const struct rp_field status_fields[] = {
    UINT(rp_msg_status, revision),
    LIST(rp_msg_status, replicas, rp_msg_replica_info_schema),
    LIST(rp_msg_status, services, rp_msg_service_info_schema),
    LIST(rp_msg_status, nodes, rp_msg_node_info_schema),
    LIST(rp_msg_status, upstreams, rp_msg_upstream_info_schema),
    LIST(rp_msg_status, evacuated, rp_msg_zone_schema),
};
/* Replicas of earlier releases do not send the last field. */
static const struct rp_schema rp_msg_status_schema = {
    .fields = status_fields,
    .count = G_N_ELEMENTS(status_fields),
    .required = G_N_ELEMENTS(status_fields) - 1,
    .size = sizeof(struct rp_msg_status)};

static const struct rp_field log_entry_fields[] = {
    UINT(rp_log_entry, index),
    UINT(rp_log_entry, term),
    UINT(rp_log_entry, kind),
    TEXT(rp_log_entry, data),
};
const struct rp_schema rp_log_entry_schema = RP_SCHEMA(rp_log_entry,
                                                       log_entry_fields);

static const struct rp_field replica_member_fields[] = {
    UINT(rp_replica_member, id),    NAME(rp_replica_member, name),
    UINT(rp_replica_member, ip),    UINT(rp_replica_member, port),
    UINT(rp_replica_member, voter),
};
const struct rp_schema rp_replica_member_schema = RP_SCHEMA(
    rp_replica_member, replica_member_fields);

static const struct rp_field replica_members_fields[] = {
    LIST(rp_replica_members, list, rp_replica_member_schema),
};
const struct rp_schema rp_replica_members_schema = RP_SCHEMA(
    rp_replica_members, replica_members_fields);

static const struct rp_field snapshot_fields[] = {
    UINT(rp_snapshot, index),
    UINT(rp_snapshot, term),
    LIST(rp_snapshot, members, rp_replica_member_schema),
    TEXT(rp_snapshot, data),
};
const struct rp_schema rp_snapshot_schema = RP_SCHEMA(rp_snapshot,
                                                      snapshot_fields);

static const struct rp_field vote_fields[] = {
    UINT(rp_msg_vote, from),       UINT(rp_msg_vote, to),
    UINT(rp_msg_vote, term),       UINT(rp_msg_vote, kind),
    UINT(rp_msg_vote, last_index), UINT(rp_msg_vote, last_term),
};
static const struct rp_schema rp_msg_vote_schema = RP_SCHEMA(rp_msg_vote,
                                                             vote_fields);

static const struct rp_field vote_reply_fields[] = {
    UINT(rp_msg_vote_reply, from),    UINT(rp_msg_vote_reply, to),
    UINT(rp_msg_vote_reply, term),    UINT(rp_msg_vote_reply, kind),
    UINT(rp_msg_vote_reply, granted),
};
static const struct rp_schema rp_msg_vote_reply_schema = RP_SCHEMA(
    rp_msg_vote_reply, vote_reply_fields);

static const struct rp_field append_fields[] = {
    UINT(rp_msg_append, from),
    UINT(rp_msg_append, to),
    UINT(rp_msg_append, term),
    UINT(rp_msg_append, previous_index),
    UINT(rp_msg_append, previous_term),
    UINT(rp_msg_append, committed),
    UINT(rp_msg_append, round),
    LIST(rp_msg_append, entries, rp_log_entry_schema),
    UINT(rp_msg_append, fresh),
};
static const struct rp_schema rp_msg_append_schema = RP_SCHEMA(rp_msg_append,
                                                               append_fields);

static const struct rp_field append_reply_fields[] = {
    UINT(rp_msg_append_reply, from),     UINT(rp_msg_append_reply, to),
    UINT(rp_msg_append_reply, term),     UINT(rp_msg_append_reply, round),
    UINT(rp_msg_append_reply, accepted), UINT(rp_msg_append_reply, match),
    UINT(rp_msg_append_reply, leaving),
};
/* Replicas of earlier versions do not send the last field. */
static const struct rp_schema rp_msg_append_reply_schema = {
    .fields = append_reply_fields,
    .count = G_N_ELEMENTS(append_reply_fields),
    .required = G_N_ELEMENTS(append_reply_fields) - 1,
    .size = sizeof(struct rp_msg_append_reply)};

static const struct rp_field snapshot_msg_fields[] = {
    UINT(rp_msg_snapshot, from),   UINT(rp_msg_snapshot, to),
    UINT(rp_msg_snapshot, term),   UINT(rp_msg_snapshot, index),
    UINT(rp_msg_snapshot, offset), UINT(rp_msg_snapshot, total),
    TEXT(rp_msg_snapshot, data),
};
static const struct rp_schema rp_msg_snapshot_schema = RP_SCHEMA(
    rp_msg_snapshot, snapshot_msg_fields);

static const struct rp_field snapshot_reply_fields[] = {
    UINT(rp_msg_snapshot_reply, from),   UINT(rp_msg_snapshot_reply, to),
    UINT(rp_msg_snapshot_reply, term),   UINT(rp_msg_snapshot_reply, index),
    UINT(rp_msg_snapshot_reply, offset),
};
static const struct rp_schema rp_msg_snapshot_reply_schema = RP_SCHEMA(
    rp_msg_snapshot_reply, snapshot_reply_fields);

static const struct rp_field join_fields[] = {
    UINT(rp_msg_join, member.id),    NAME(rp_msg_join, member.name),
    UINT(rp_msg_join, member.ip),    UINT(rp_msg_join, member.port),
    UINT(rp_msg_join, member.voter),
};
static const struct rp_schema rp_msg_join_schema = RP_SCHEMA(rp_msg_join,
                                                             join_fields);

static const struct rp_field order_fields[] = {
    NAME(rp_msg_order, upstream),
    UINT(rp_msg_order, draining),
};
static const struct rp_schema rp_msg_order_schema = RP_SCHEMA(rp_msg_order,
                                                              order_fields);

static const struct rp_field order_reply_fields[] = {
    UINT(rp_msg_order_reply, code),
};
static const struct rp_schema rp_msg_order_reply_schema = RP_SCHEMA(
    rp_msg_order_reply, order_reply_fields);

static const struct rp_schema *const schemas[RP_MSG_TYPE_COUNT] = {
#define RP_MSG_SCHEMA(symbol, member)                                         \
    [RP_MSG_##symbol] = &rp_msg_##member##_schema,
    RP_MSG_LIST(RP_MSG_SCHEMA)
#undef RP_MSG_SCHEMA
};

/* Returns the message body; all members of the union have one address. */
static void *
get_body(struct rp_msg *msg)
{
    return &msg->hello;
}

/* Output callback of the msgpack packer. */
static int
write_to_string(void *data, const char *bytes, size_t len)
{
    g_string_append_len(data, bytes, (gssize)len);
    return 0;
}

void
RpMsg_Encode(const struct rp_msg *msg, GString *out)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, write_to_string);
    msgpack_pack_array(&packer, 2);
    msgpack_pack_uint8(&packer, (uint8_t)msg->type);
    RpSchema_Pack(schemas[msg->type], &msg->hello, &packer);
}

static bool
decode_object(const msgpack_object *object, struct rp_msg *msg)
{
    if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != 2) {
        return false;
    }
    const msgpack_object *type = &object->via.array.ptr[0];
    if (type->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        type->via.u64 == RP_MSG_NONE || type->via.u64 >= RP_MSG_TYPE_COUNT) {
        return false;
    }
    msg->type = (enum rp_msg_type)type->via.u64;
    return RpSchema_Unpack(schemas[msg->type], &object->via.array.ptr[1],
                           get_body(msg));
}

bool
RpMsg_Decode(struct rp_str bytes, struct rp_msg *msg)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;

    memset(msg, 0, sizeof *msg);
    if (!RpSchema_IsWellFormed(bytes)) {
        return false;
    }
    msgpack_unpacked_init(&unpacked);
    bool decoded = msgpack_unpack_next(&unpacked, bytes.data, bytes.len,
                                       &offset) == MSGPACK_UNPACK_SUCCESS &&
                   offset == bytes.len && decode_object(&unpacked.data, msg);
    msgpack_unpacked_destroy(&unpacked);
    if (!decoded) {
        memset(msg, 0, sizeof *msg);
    }
    return decoded;
}

void
RpMsg_Clear(struct rp_msg *msg)
{
    if (msg->type != RP_MSG_NONE) {
        RpSchema_Clear(schemas[msg->type], get_body(msg));
    }
    msg->type = RP_MSG_NONE;
}

const char *
RpMsg_Name(enum rp_msg_type type)
{
    static const char *const names[RP_MSG_TYPE_COUNT] = {
        [RP_MSG_NONE] = "none",
#define RP_MSG_TEXT(symbol, member) [RP_MSG_##symbol] = #member,
        RP_MSG_LIST(RP_MSG_TEXT)
#undef RP_MSG_TEXT
    };

    return type < RP_MSG_TYPE_COUNT ? names[type] : "unknown";
}

const char *
RpRole_Name(enum rp_role role)
{
    static const char *const names[RP_ROLE_COUNT] = {
        "none", "control", "balancer", "agent", "operator"};

    return role < RP_ROLE_COUNT ? names[role] : "unknown";
}

const char *
RpUpstreamState_Name(enum rp_upstream_state state)
{
    switch (state) {
    case RP_UPSTREAM_READY:
        return "ready";
    case RP_UPSTREAM_DRAINING:
        return "draining";
    case RP_UPSTREAM_LOST:
        return "lost";
    case RP_UPSTREAM_GONE:
        return "gone";
    case RP_UPSTREAM_UNHEARD:
        return "unheard";
    }
    return "unknown";
}
