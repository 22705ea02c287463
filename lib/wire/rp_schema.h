/* Message bodies: msgpack arrays described by tables of fields.
 *
 * A schema lists a struct's members in wire order. The encoder writes them
 * as one msgpack array; the decoder takes an array with at least the first
 * `required` fields, leaves missing later ones zero and skips surplus ones,
 * so that a field can be added at the end without breaking older peers.
 */
#ifndef RP_SCHEMA_H
#define RP_SCHEMA_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>

#include "rp_str.h"

#define RP_LIST_MAX 65536 /* entries of one list */
#define RP_DEPTH_MAX 8    /* arrays within arrays */

enum rp_field_kind {
    RP_FIELD_UINT, /* uint8_t to uint64_t, by the member's size */
    RP_FIELD_NAME, /* struct rp_name */
    RP_FIELD_TEXT, /* GString *, may hold any bytes */
    RP_FIELD_LIST, /* GArray * of structs with a schema of their own */
    RP_FIELD_BLOB  /* uint8_t[n] of fixed size */
};

struct rp_schema;

struct rp_field {
    enum rp_field_kind kind;
    size_t offset;
    size_t size;
    const struct rp_schema *element; /* for RP_FIELD_LIST */
};

struct rp_schema {
    const struct rp_field *fields;
    size_t count;
    size_t required;
    size_t size; /* of the struct */
};

#define RP_FIELD(kind_, type_, member_)                                       \
    {                                                                         \
        .kind = (kind_), .offset = offsetof(struct type_, member_),           \
        .size = sizeof(((struct type_ *)0)->member_)                          \
    }
#define RP_FIELD_LIST_OF(type_, member_, schema_)                             \
    {                                                                         \
        .kind = RP_FIELD_LIST, .offset = offsetof(struct type_, member_),     \
        .size = sizeof(GArray *), .element = (schema_)                        \
    }
#define RP_SCHEMA(type_, fields_)                                             \
    {                                                                         \
        .fields = (fields_), .count = G_N_ELEMENTS(fields_),                  \
        .required = G_N_ELEMENTS(fields_), .size = sizeof(struct type_)       \
    }

/* Whether bytes are one whole value of the kinds used here (unsigned
 * numbers, byte strings, arrays) with no array that claims more entries than
 * there are bytes. The library allocates by the claim, so this comes before
 * any call of it. */
bool RpSchema_IsSane(struct rp_str bytes);

/* Appends the struct at `data` to `packer`. */
void RpSchema_Pack(const struct rp_schema *schema, const void *data,
                   msgpack_packer *packer);

/* Fills the zeroed struct at `data` from `object`. On failure the struct
 * is left cleared. */
bool RpSchema_Unpack(const struct rp_schema *schema,
                     const msgpack_object *object, void *data);

/* Frees what the struct at `data` owns and zeroes it. */
void RpSchema_Clear(const struct rp_schema *schema, void *data);

/* Encodes a struct alone, as stored in logs and snapshots. */
GString *RpSchema_Encode(const struct rp_schema *schema, const void *data);

/* Decodes what RpSchema_Encode wrote; the bytes must hold just that. */
bool RpSchema_Decode(const struct rp_schema *schema, struct rp_str bytes,
                     void *data);

/* A list ready for elements of `schema`; freed by RpSchema_Clear. */
GArray *RpSchema_NewList(const struct rp_schema *schema);

#endif
