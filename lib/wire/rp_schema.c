/* Encodes and decodes structs by their schemas. */
#include "rp_schema.h"

#include <assert.h>
#include <string.h>

/* First bytes of msgpack values, as its specification names them. */
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

/* Returns the unsigned number in a member of 1, 2, 4 or 8 bytes. */
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

/* Stores a number in a member of `size` bytes; returns false if it is too
 * large. */
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

/* The rest of the bytes that are being checked. */
struct reader {
    const uint8_t *next;
    size_t left; /* bytes */
};

/* Reads a big-endian number of `size` bytes; returns false if fewer bytes are
 * left. */
static bool
read_number(struct reader *reader, size_t size, uint64_t *number)
{
    if (reader->left < size) {
        return false;
    }
    *number = 0;
    for (size_t i = 0; i < size; i++) {
        *number = *number << 8 | reader->next[i];
    }
    reader->next += size;
    reader->left -= size;
    return true;
}

static bool
skip_bytes(struct reader *reader, uint64_t len)
{
    if (reader->left < len) {
        return false;
    }
    reader->next += len;
    reader->left -= len;
    return true;
}

static bool check_value(struct reader *reader, unsigned depth);

static bool
check_array(struct reader *reader, uint64_t count, unsigned depth)
{
    if (count > reader->left || depth >= RP_DEPTH_MAX) {
        return false;
    }
    while (count-- > 0) {
        if (!check_value(reader, depth + 1)) {
            return false;
        }
    }
    return true;
}

static bool
check_value(struct reader *reader, unsigned depth)
{
    uint64_t tag;
    uint64_t number;

    if (!read_number(reader, 1, &tag)) {
        return false;
    }
    if (tag <= TAG_FIXED_NUMBER_LAST) {
        return true;
    }
    if (tag >= TAG_FIXED_ARRAY && tag <= TAG_FIXED_ARRAY_LAST) {
        return check_array(reader, tag - TAG_FIXED_ARRAY, depth);
    }
    if (tag >= TAG_UINT8 && tag <= TAG_UINT64) {
        return skip_bytes(reader, UINT64_C(1) << (tag - TAG_UINT8));
    }
    switch (tag) {
    case TAG_BIN8:
        return read_number(reader, 1, &number) && skip_bytes(reader, number);
    case TAG_BIN16:
        return read_number(reader, 2, &number) && skip_bytes(reader, number);
    case TAG_BIN32:
        return read_number(reader, 4, &number) && skip_bytes(reader, number);
    case TAG_ARRAY16:
        return read_number(reader, 2, &number) &&
               check_array(reader, number, depth);
    case TAG_ARRAY32:
        return read_number(reader, 4, &number) &&
               check_array(reader, number, depth);
    default:
        return false;
    }
}

bool
RpSchema_IsWellFormed(struct rp_str bytes)
{
    struct reader reader = {.next = (const uint8_t *)bytes.data,
                            .left = bytes.len};

    return check_value(&reader, 0) && reader.left == 0;
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

/* Output callback of the msgpack packer. */
static int
write_to_string(void *data, const char *bytes, size_t len)
{
    g_string_append_len(data, bytes, (gssize)len);
    return 0;
}

GString *
RpSchema_Encode(const struct rp_schema *schema, const void *data)
{
    GString *out = g_string_new(NULL);
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, write_to_string);
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
    if (!RpSchema_IsWellFormed(bytes)) {
        return false;
    }
    msgpack_unpacked_init(&unpacked);
    bool decoded = msgpack_unpack_next(&unpacked, bytes.data, bytes.len,
                                       &offset) == MSGPACK_UNPACK_SUCCESS &&
                   offset == bytes.len &&
                   RpSchema_Unpack(schema, &unpacked.data, data);
    msgpack_unpacked_destroy(&unpacked);
    return decoded;
}
