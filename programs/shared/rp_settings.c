#include "rp_settings.h"

#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

#define MAX_SETTINGS 32
#define MAX_PARSE_ERRORS 20

/* argtable's view of a settings table: the settings first, then help,
 * version and the end marker. */
struct arguments {
    void *table[MAX_SETTINGS + 3];
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_end *end;
    size_t count;
};

static gchar *
variable_name(const char *flag)
{
    if (!flag) {
        return NULL;
    }
    gchar *upper = g_ascii_strup(flag, -1);
    gchar *name = g_strdup_printf("RADISHPORT_%s",
                                  g_strdelimit(upper, "-", '_'));

    g_free(upper);
    return name;
}

static void
build_arguments(struct arguments *arguments, const struct rp_setting *settings,
                size_t count)
{
    g_assert(count <= MAX_SETTINGS);
    for (size_t i = 0; i < count; i++) {
        const struct rp_setting *setting = &settings[i];
        arguments->table[i] =
            setting->kind == RP_SETTING_SWITCH
                ? (void *)arg_lit0(NULL, setting->flag, setting->help)
                : (void *)arg_str0(NULL, setting->flag, setting->value,
                                   setting->help);
    }
    arguments->help = arg_lit0("h", "help", "print this help and exit");
    arguments->version = arg_lit0("V", "version",
                                  "print the version and exit");
    arguments->end = arg_end(MAX_PARSE_ERRORS);
    arguments->table[count] = arguments->help;
    arguments->table[count + 1] = arguments->version;
    arguments->table[count + 2] = arguments->end;
    arguments->count = count;
}

static void
print_help(const struct arguments *arguments, const char *program,
           const char *usage)
{
    printf("Usage: %s", program);
    arg_print_syntax(stdout, (void **)arguments->table, "\n\n");
    printf("%s\n\n", usage);
    arg_print_glossary(stdout, (void **)arguments->table, "  %-28s %s\n");
    printf("\nEach flag can be set as an environment variable instead: "
           "--some-flag is RADISHPORT_SOME_FLAG.\n");
}

/* Turns argtable's own complaints into findings, a line each. */
static void
collect_parse_errors(const struct arguments *arguments, const char *program,
                     struct rp_error *error)
{
    char *text = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&text, &len);

    arg_print_errors(out, arguments->end, program);
    fclose(out);
    gchar **lines = g_strsplit(text, "\n", -1);
    for (gchar **line = lines; *line; line++) {
        if (**line) {
            RpError_Add(error, RP_ERR_SETTING, "command line", "%s", *line);
        }
    }
    g_strfreev(lines);
    free(text);
}

static bool
parse_endpoints(struct rp_str text, struct rp_endpoints *endpoints)
{
    while (text.len) {
        struct rp_str rest;
        struct rp_str part = RpStr_Trim(RpStr_Split(text, ',', &rest));
        if (endpoints->count >= RP_ENDPOINTS_MAX ||
            !RpEndpoint_Parse(part, &endpoints->item[endpoints->count])) {
            return false;
        }
        endpoints->count++;
        text = rest;
    }
    return endpoints->count > 0;
}

static enum rp_code
store(const struct rp_setting *setting, const char *place, const char *value,
      void *member, struct rp_error *error)
{
    struct rp_str text = RpStr_FromC(value);
    uint64_t number;

    switch (setting->kind) {
    case RP_SETTING_TEXT:
        *(GString **)member = g_string_new(value);
        return RP_OK;
    case RP_SETTING_NAME:
        if (RpName_IsLabel(text) && RpName_Set(member, text)) {
            return RP_OK;
        }
        return RpError_Add(error, RP_ERR_SETTING, place,
                           "\"%s\" is not a name of a-z, 0-9 and inner "
                           "hyphens",
                           value);
    case RP_SETTING_ENDPOINT:
        if (RpEndpoint_Parse(text, member)) {
            return RP_OK;
        }
        return RpError_Add(error, RP_ERR_SETTING, place,
                           "\"%s\" is not an address a.b.c.d:port", value);
    case RP_SETTING_ENDPOINTS:
        if (parse_endpoints(text, member)) {
            return RP_OK;
        }
        return RpError_Add(error, RP_ERR_SETTING, place,
                           "\"%s\" is not a list of up to %d addresses "
                           "a.b.c.d:port,…",
                           value, RP_ENDPOINTS_MAX);
    case RP_SETTING_UINT:
        if (RpStr_ToUint(text, setting->max, &number) &&
            number >= setting->min) {
            *(uint32_t *)member = (uint32_t)number;
            return RP_OK;
        }
        return RpError_Add(error, RP_ERR_SETTING, place,
                           "\"%s\" is not a number from %u to %u", value,
                           setting->min, setting->max);
    case RP_SETTING_LEVEL:
        if (RpLog_ParseLevel(text, member)) {
            return RP_OK;
        }
        return RpError_Add(error, RP_ERR_SETTING, place,
                           "\"%s\" is not debug, info, warn or error", value);
    case RP_SETTING_SWITCH:
        *(bool *)member = strcmp(value, "0") != 0 && value[0];
        return RP_OK;
    }
    return RP_OK;
}

static void
read_one(const struct rp_setting *setting, void *argument, void *target,
         struct rp_error *error)
{
    gchar *variable = variable_name(setting->flag);
    gchar *flag = setting->flag ? g_strdup_printf("--%s", setting->flag)
                                : g_strdup(setting->value);
    const char *place = flag;
    const char *value = NULL;

    if (setting->kind == RP_SETTING_SWITCH) {
        value = ((struct arg_lit *)argument)->count ? "1" : NULL;
    }
    else if (((struct arg_str *)argument)->count) {
        value = ((struct arg_str *)argument)->sval[0];
    }
    if (!value && variable && g_getenv(variable)) {
        value = g_getenv(variable);
        place = variable;
    }
    if (!value) {
        value = setting->fallback;
    }
    if (value) {
        store(setting, place, value, (char *)target + setting->offset, error);
    }
    else if (!setting->optional && setting->kind != RP_SETTING_SWITCH) {
        RpError_Add(error, RP_ERR_SETTING, place, "is required%s%s",
                    variable ? ", or set " : "", variable ? variable : "");
    }
    g_free(flag);
    g_free(variable);
}

enum rp_settings_result
RpSettings_Read(const struct rp_setting *settings, size_t count,
                const char *program, const char *usage, int argc, char **argv,
                void *target, struct rp_error *error)
{
    struct arguments arguments = {0};
    enum rp_settings_result result = RP_SETTINGS_READY;

    build_arguments(&arguments, settings, count);
    int errors = arg_parse(argc, argv, arguments.table);
    if (arguments.help->count) {
        print_help(&arguments, program, usage);
        result = RP_SETTINGS_DONE;
    }
    else if (arguments.version->count) {
        printf("%s %s\n", program, RP_VERSION);
        result = RP_SETTINGS_DONE;
    }
    else {
        if (errors) {
            collect_parse_errors(&arguments, program, error);
        }
        for (size_t i = 0; i < count; i++) {
            read_one(&settings[i], arguments.table[i], target, error);
        }
        if (RpError_Count(error)) {
            result = RP_SETTINGS_BAD;
        }
    }
    arg_freetable(arguments.table, count + 3);
    return result;
}
