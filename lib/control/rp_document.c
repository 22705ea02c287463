/* The parser of service documents. */
#include "rp_document.h"

#include <glib.h>
#include <string.h>

#define DEFAULT_FLOWS_PER_UPSTREAM 100000
#define MAX_FLOWS_PER_UPSTREAM 1000000
#define DEFAULT_RETRIES_PERCENT 10
#define MAX_RETRIES_PERCENT 100
#define DEFAULT_SILENCE_SECONDS 30
#define MIN_SILENCE_SECONDS 5
#define MAX_SILENCE_SECONDS 3600
#define MS_PER_SECOND 1000
#define MAX_LONG_SLOTS_PERCENT 100
#define THOUSANDTHS 1000

/* The keys that a document may have. */
enum key_index {
    KEY_NAME,
    KEY_ADDRESS,
    KEY_FLOWS,
    KEY_RETRIES,
    KEY_SILENCE,
    KEY_LONG_SLOTS,
    KEY_WARMUP,
    KEY_COLD_RATE,
    KEY_COUNT
};

struct known_key {
    const char *group;
    const char *key;
};

static const struct known_key known_keys[KEY_COUNT] = {
    [KEY_NAME] = {"service", "name"},
    [KEY_ADDRESS] = {"service", "address"},
    [KEY_FLOWS] = {"limits", "flows-per-upstream"},
    [KEY_RETRIES] = {"limits", "retries-percent"},
    [KEY_SILENCE] = {"recovery", "silence-seconds"},
    [KEY_LONG_SLOTS] = {"placement", "long-slots-percent"},
    [KEY_WARMUP] = {"cold-start", "seconds"},
    [KEY_COLD_RATE] = {"cold-start", "flows-per-second"},
};

/* State while one document is parsed. */
struct parser {
    struct rp_error *error;
    GString *valid_lines; /* the lines that could be parsed */
    gchar *group;
    unsigned line;
    unsigned lines[KEY_COUNT]; /* line of each known key; 0: not found */
    bool failed;
};

static void add_finding(struct parser *parser, unsigned line,
                        const char *format, ...) G_GNUC_PRINTF(3, 4);

static void
add_finding(struct parser *parser, unsigned line, const char *format, ...)
{
    gchar *place = g_strdup_printf("line %u", line);
    va_list args;

    va_start(args, format);
    gchar *text = g_strdup_vprintf(format, args);
    va_end(args);
    RpError_Add(parser->error, RP_ERR_DOCUMENT, place, "%s", text);
    parser->failed = true;
    g_free(text);
    g_free(place);
}

static bool
is_known_group(const char *group)
{
    for (size_t i = 0; i < KEY_COUNT; i++) {
        if (!strcmp(known_keys[i].group, group)) {
            return true;
        }
    }
    return false;
}

static void
parse_group(struct parser *parser, struct rp_str line)
{
    g_free(parser->group);
    parser->group = NULL;
    if (line.len < 3 || line.data[line.len - 1] != ']') {
        add_finding(parser, parser->line, "group must have the form [name]");
        return;
    }
    parser->group = g_strndup(line.data + 1, line.len - 2);
    if (!is_known_group(parser->group)) {
        add_finding(parser, parser->line, "unknown group [%s]", parser->group);
    }
    g_string_append_printf(parser->valid_lines, "[%s]\n", parser->group);
}

/* Records the line of a key. Returns false, with a finding, if the key is
 * unknown or already set. */
static bool
record_key(struct parser *parser, const char *key)
{
    for (size_t i = 0; i < KEY_COUNT; i++) {
        if (strcmp(known_keys[i].group, parser->group) ||
            strcmp(known_keys[i].key, key)) {
            continue;
        }
        if (parser->lines[i]) {
            add_finding(parser, parser->line, "%s is already set in line %u",
                        key, parser->lines[i]);
            return false;
        }
        parser->lines[i] = parser->line;
        return true;
    }
    if (is_known_group(parser->group)) {
        add_finding(parser, parser->line, "unknown key %s in [%s]", key,
                    parser->group);
    }
    return false;
}

static void
parse_key(struct parser *parser, struct rp_str line)
{
    struct rp_str value;
    struct rp_str key = RpStr_Trim(RpStr_Split(line, '=', &value));

    if (key.len == line.len || key.len == 0) {
        add_finding(parser, parser->line, "expected [group] or key = value");
        return;
    }
    if (!parser->group) {
        add_finding(parser, parser->line, "key before the first group");
        return;
    }
    gchar *name = g_strndup(key.data, key.len);
    if (record_key(parser, name)) {
        struct rp_str comment;
        value = RpStr_Trim(RpStr_Split(value, '#', &comment));
        g_string_append_printf(parser->valid_lines, "%s=%.*s\n", name,
                               (int)value.len, value.data);
    }
    g_free(name);
}

static void
parse_lines(struct parser *parser, struct rp_str text)
{
    while (text.len) {
        struct rp_str rest;
        struct rp_str line = RpStr_Trim(RpStr_Split(text, '\n', &rest));

        parser->line++;
        if (line.len && line.data[0] == '[') {
            parse_group(parser, line);
        }
        else if (line.len && line.data[0] != '#') {
            parse_key(parser, line);
        }
        text = rest;
    }
}

/* Returns the value of a key, or NULL if the document does not set it. The
 * caller frees it. */
static gchar *
get_value(GKeyFile *file, enum key_index index)
{
    return g_key_file_get_string(file, known_keys[index].group,
                                 known_keys[index].key, NULL);
}

static uint32_t
parse_number(struct parser *parser, GKeyFile *file, enum key_index index,
             uint64_t min, uint64_t max, uint32_t fallback)
{
    gchar *value = get_value(file, index);
    uint64_t number = fallback;

    if (value &&
        (!RpStr_ToUint(RpStr_FromC(value), max, &number) || number < min)) {
        add_finding(parser, parser->lines[index],
                    "%s must be a number from %" G_GUINT64_FORMAT
                    " to %" G_GUINT64_FORMAT,
                    known_keys[index].key, min, max);
    }
    g_free(value);
    return (uint32_t)number;
}

/* Reads a decimal number with at most three digits after the point. Returns
 * its thousandths, or 0 if the document does not set it. */
static uint32_t
parse_thousandths(struct parser *parser, GKeyFile *file, enum key_index index,
                  uint32_t max)
{
    gchar *value = get_value(file, index);
    struct rp_str fraction = {0};
    uint64_t whole = 0;
    uint64_t part = 0;

    if (!value) {
        return 0;
    }
    struct rp_str text = RpStr_FromC(value);
    struct rp_str digits = RpStr_Split(text, '.', &fraction);
    bool valid = RpStr_ToUint(digits, max / THOUSANDTHS, &whole) &&
                 digits.len + 1 != text.len && fraction.len < sizeof "000" &&
                 (fraction.len == 0 ||
                  RpStr_ToUint(fraction, THOUSANDTHS - 1, &part));
    for (size_t i = fraction.len; i < sizeof "000" - 1; i++) {
        part *= 10;
    }
    uint64_t number = whole * THOUSANDTHS + part;
    if (!valid || number > max) {
        add_finding(parser, parser->lines[index],
                    "%s must be a number from 0 to %u with at most three "
                    "digits after the point",
                    known_keys[index].key, max / THOUSANDTHS);
    }
    g_free(value);
    return (uint32_t)number;
}

static void
parse_name(struct parser *parser, GKeyFile *file, struct rp_document *document)
{
    gchar *value = get_value(file, KEY_NAME);

    if (!value) {
        add_finding(parser, parser->line, "[service] has no name");
    }
    else if (!RpName_IsLabel(RpStr_FromC(value))) {
        add_finding(parser, parser->lines[KEY_NAME],
                    "name must have 1 to %d characters a-z, 0-9 and -, and "
                    "must not start or end with -",
                    RP_NAME_MAX);
    }
    else {
        RpName_Set(&document->name, RpStr_FromC(value));
    }
    g_free(value);
}

static void
parse_address(struct parser *parser, GKeyFile *file,
              struct rp_document *document)
{
    gchar *value = get_value(file, KEY_ADDRESS);

    document->address_line = parser->lines[KEY_ADDRESS];
    if (!value) {
        add_finding(parser, parser->line, "[service] has no address");
    }
    else if (!RpEndpoint_Parse(RpStr_FromC(value), &document->address)) {
        add_finding(parser, parser->lines[KEY_ADDRESS],
                    "address must have the form a.b.c.d:port");
    }
    g_free(value);
}

static void
parse_values(struct parser *parser, GKeyFile *file,
             struct rp_document *document)
{
    parse_name(parser, file, document);
    parse_address(parser, file, document);
    document->flows_per_upstream = parse_number(parser, file, KEY_FLOWS, 1,
                                                MAX_FLOWS_PER_UPSTREAM,
                                                DEFAULT_FLOWS_PER_UPSTREAM);
    document->retries_percent = parse_number(parser, file, KEY_RETRIES, 0,
                                             MAX_RETRIES_PERCENT,
                                             DEFAULT_RETRIES_PERCENT);
    document->silence_ms = MS_PER_SECOND *
                           parse_number(
                               parser, file, KEY_SILENCE, MIN_SILENCE_SECONDS,
                               MAX_SILENCE_SECONDS, DEFAULT_SILENCE_SECONDS);
    document->long_slots_percent = parse_number(parser, file, KEY_LONG_SLOTS,
                                                1, MAX_LONG_SLOTS_PERCENT,
                                                MAX_LONG_SLOTS_PERCENT);
    document->warmup_ms = parse_thousandths(parser, file, KEY_WARMUP,
                                            RP_DOCUMENT_MAX_WARMUP_MS);
    document->cold_per_1000_s = parse_thousandths(
        parser, file, KEY_COLD_RATE, RP_DOCUMENT_MAX_COLD_PER_1000_S);
}

void
RpDocument_InitDefaults(struct rp_document *document,
                        const struct rp_name *name)
{
    *document = (struct rp_document){
        .name = *name,
        .flows_per_upstream = DEFAULT_FLOWS_PER_UPSTREAM,
        .retries_percent = DEFAULT_RETRIES_PERCENT,
        .silence_ms = MS_PER_SECOND * DEFAULT_SILENCE_SECONDS,
        .long_slots_percent = MAX_LONG_SLOTS_PERCENT};
}

enum rp_code
RpDocument_Parse(struct rp_str text, struct rp_document *document,
                 struct rp_error *error)
{
    struct parser parser = {.error = error};

    memset(document, 0, sizeof *document);
    if (text.len > RP_DOCUMENT_MAX) {
        return RpError_Add(error, RP_ERR_LIMIT, "document",
                           "has %zu bytes, the limit is %d", text.len,
                           RP_DOCUMENT_MAX);
    }
    if (!g_utf8_validate_len(text.data, text.len, NULL)) {
        return RpError_Add(error, RP_ERR_DOCUMENT, "document",
                           "is not valid UTF-8 text");
    }
    parser.valid_lines = g_string_new(NULL);
    parse_lines(&parser, text);
    GKeyFile *file = g_key_file_new();
    if (parser.valid_lines->len &&
        !g_key_file_load_from_data(file, parser.valid_lines->str,
                                   parser.valid_lines->len, G_KEY_FILE_NONE,
                                   NULL)) {
        add_finding(&parser, 1, "cannot be parsed as a key file");
    }
    parse_values(&parser, file, document);
    g_key_file_free(file);
    g_string_free(parser.valid_lines, TRUE);
    g_free(parser.group);
    return parser.failed ? RP_ERR_DOCUMENT : RP_OK;
}
