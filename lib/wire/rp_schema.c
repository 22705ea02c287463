#include "rp_schema.h"

#include <assert.h>
#include <string.h>

/* First bytes of msgpack values. */
#define TAG_FIXED_NUMBER_LAST 0x7f
#define TAG_FIXED_ARRAY 0x90
#define TAG_FIXED_ARRAY_LAST 0x9f
#define TAG_BIN8 0xc4
#define TAG_BIN16 0xc5
#define TAG_BIN32 0xc6
#define TAG_UINT8 0xcc
#define TAG_UINT64 0xcf
#define TAG_ARRAY16 0xdc
#define TAG_ARRAY32 0xdd

/* The unsigned number in a member of 1, 2, 4 or 8 bytes. */
static uint64_t
load_uint(const void *member, size_t size)
{
    switch (size) {
    case 1:
        return *(const uint8_t *)member;
    case 2:
        return *(const uint16_t *)member;
    case 4:
        return *(const uint32_t *)member;
    default:
        assert(size == 8);
        return *(const uint64_t *)member;
    }
}

static bool
store_uint(void *member, size_t size, uint64_t value)
{
    if (size < 8 && value >> (size * 8)) {
        return false;
    }
    switch (size) {
    case 1:
        *(uint8_t *)member = (uint8_t)value;
        break;
    case 2:
        *(uint16_t *)member = (uint16_t)value;
        break;
    case 4:
        *(uint32_t *)member = (uint32_t)value;
        break;
    default:
        assert(size == 8);
        *(uint64_t *)member = value;
    }
    return true;
}

static void
pack_bytes(msgpack_packer *packer, const void *data, size_t len)
{
    msgpack_pack_bin(packer, len);
    msgpack_pack_bin_body(packer, data, len);
}

static void
pack_list(const struct rp_schema *element, const GArray *list,
          msgpack_packer *packer)
{
    guint count = list ? list->len : 0;

    msgpack_pack_array(packer, count);
    for (guint i = 0; i < count; i++) {
        RpSchema_Pack(element, list->data + (size_t)i * element->size, packer);
    }
}

static void
pack_field(const struct rp_field *field, const void *member,
           msgpack_packer *packer)
{
    switch (field->kind) {
    case RP_FIELD_UINT:
        msgpack_pack_uint64(packer, load_uint(member, field->size));
        break;
    case RP_FIELD_NAME: {
        const struct rp_name *name = member;
        pack_bytes(packer, name->data, name->len);
        break;
    }
    case RP_FIELD_TEXT: {
        const GString *text = *(GString *const *)member;
        pack_bytes(packer, text ? text->str : "", text ? text->len : 0);
        break;
    }
    case RP_FIELD_LIST:
        pack_list(field->element, *(GArray *const *)member, packer);
        break;
    case RP_FIELD_BLOB:
        pack_bytes(packer, member, field->size);
        break;
    }
}

/* What is left of a value that is being scanned. */
struct scan {
    const uint8_t *at;
    size_t left;
};

/* Takes a big-endian number of `size` bytes; false at the end. */
static bool
take_number(struct scan *scan, size_t size, uint64_t *number)
{
    if (scan->left < size) {
        return false;
    }
    *number = 0;
    for (size_t i = 0; i < size; i++) {
        *number = *number << 8 | scan->at[i];
    }
    scan->at += size;
    scan->left -= size;
    return true;
}

static bool
skip(struct scan *scan, uint64_t len)
{
    if (scan->left < len) {
        return false;
    }
    scan->at += len;
    scan->left -= len;
    return true;
}

static bool scan_value(struct scan *scan, unsigned depth);

static bool
scan_array(struct scan *scan, uint64_t count, unsigned depth)
{
    if (count > scan->left || depth >= RP_DEPTH_MAX) {
        return false;
    }
    while (count-- > 0) {
        if (!scan_value(scan, depth + 1)) {
            return false;
        }
    }
    return true;
}

static bool
scan_value(struct scan *scan, unsigned depth)
{
    uint64_t tag;
    uint64_t number;

    if (!take_number(scan, 1, &tag)) {
        return false;
    }
    if (tag <= TAG_FIXED_NUMBER_LAST) {
        return true;
    }
    if (tag >= TAG_FIXED_ARRAY && tag <= TAG_FIXED_ARRAY_LAST) {
        return scan_array(scan, tag - TAG_FIXED_ARRAY, depth);
    }
    if (tag >= TAG_UINT8 && tag <= TAG_UINT64) {
        return skip(scan, UINT64_C(1) << (tag - TAG_UINT8));
    }
    switch (tag) {
    case TAG_BIN8:
        return take_number(scan, 1, &number) && skip(scan, number);
    case TAG_BIN16:
        return take_number(scan, 2, &number) && skip(scan, number);
    case TAG_BIN32:
        return take_number(scan, 4, &number) && skip(scan, number);
    case TAG_ARRAY16:
        return take_number(scan, 2, &number) &&
               scan_array(scan, number, depth);
    case TAG_ARRAY32:
        return take_number(scan, 4, &number) &&
               scan_array(scan, number, depth);
    default:
        return false;
    }
}

bool
RpSchema_IsSane(struct rp_str bytes)
{
    struct scan scan = {.at = (const uint8_t *)bytes.data, .left = bytes.len};

    return scan_value(&scan, 0) && scan.left == 0;
}

void
RpSchema_Pack(const struct rp_schema *schema, const void *data,
              msgpack_packer *packer)
{
    msgpack_pack_array(packer, schema->count);
    for (size_t i = 0; i < schema->count; i++) {
        const struct rp_field *field = &schema->fields[i];
        pack_field(field, (const char *)data + field->offset, packer);
    }
}

static bool
unpack_list(const struct rp_schema *element, const msgpack_object *object,
            GArray **list)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size > RP_LIST_MAX) {
        return false;
    }
    *list = RpSchema_NewList(element);
    for (uint32_t i = 0; i < object->via.array.size; i++) {
        g_array_set_size(*list, i + 1);
        void *slot = (*list)->data + (size_t)i * element->size;
        if (!RpSchema_Unpack(element, &object->via.array.ptr[i], slot)) {
            return false;
        }
    }
    return true;
}

static bool
unpack_field(const struct rp_field *field, const msgpack_object *object,
             void *member)
{
    struct rp_str bytes = {0};

    if (field->kind == RP_FIELD_UINT) {
        return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
               store_uint(member, field->size, object->via.u64);
    }
    if (field->kind == RP_FIELD_LIST) {
        return unpack_list(field->element, object, member);
    }
    if (object->type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    bytes.data = object->via.bin.ptr;
    bytes.len = object->via.bin.size;
    if (field->kind == RP_FIELD_NAME) {
        return RpName_Set(member, bytes);
    }
    if (field->kind == RP_FIELD_TEXT) {
        *(GString **)member = g_string_new_len(bytes.data, (gssize)bytes.len);
        return true;
    }
    if (bytes.len != field->size) {
        return false;
    }
    memcpy(member, bytes.data, bytes.len);
    return true;
}

bool
RpSchema_Unpack(const struct rp_schema *schema, const msgpack_object *object,
                void *data)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size < schema->required) {
        return false;
    }
    size_t count = MIN(schema->count, object->via.array.size);
    for (size_t i = 0; i < count; i++) {
        const struct rp_field *field = &schema->fields[i];
        if (!unpack_field(field, &object->via.array.ptr[i],
                          (char *)data + field->offset)) {
            RpSchema_Clear(schema, data);
            return false;
        }
    }
    return true;
}

void
RpSchema_Clear(const struct rp_schema *schema, void *data)
{
    for (size_t i = 0; i < schema->count; i++) {
        const struct rp_field *field = &schema->fields[i];
        void *member = (char *)data + field->offset;

        if (field->kind == RP_FIELD_TEXT && *(GString **)member) {
            g_string_free(*(GString **)member, TRUE);
        }
        if (field->kind == RP_FIELD_LIST && *(GArray **)member) {
            GArray *list = *(GArray **)member;
            for (guint j = 0; j < list->len; j++) {
                RpSchema_Clear(field->element,
                               list->data + j * field->element->size);
            }
            g_array_free(list, TRUE);
        }
    }
    memset(data, 0, schema->size);
}

GArray *
RpSchema_NewList(const struct rp_schema *schema)
{
    return g_array_new(FALSE, TRUE, (guint)schema->size);
}

static int
append_to_string(void *data, const char *bytes, size_t len)
{
    g_string_append_len(data, bytes, (gssize)len);
    return 0;
}

GString *
RpSchema_Encode(const struct rp_schema *schema, const void *data)
{
    GString *out = g_string_new(NULL);
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, append_to_string);
    RpSchema_Pack(schema, data, &packer);
    return out;
}

bool
RpSchema_Decode(const struct rp_schema *schema, struct rp_str bytes,
                void *data)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;

    memset(data, 0, schema->size);
    if (!RpSchema_IsSane(bytes)) {
        return false;
    }
    msgpack_unpacked_init(&unpacked);
    bool good = msgpack_unpack_next(&unpacked, bytes.data, bytes.len,
                                    &offset) == MSGPACK_UNPACK_SUCCESS &&
                offset == bytes.len &&
                RpSchema_Unpack(schema, &unpacked.data, data);
    msgpack_unpacked_destroy(&unpacked);
    return good;
}
