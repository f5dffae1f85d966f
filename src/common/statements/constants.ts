/** Limits, message codes and lists of function names for statement handling. */

/** Options of statement handling and their defaults. */
export const statementDefaults = {
	/** Maximum number of classified texts in the cache. */
	maximumCachedTexts: 1000,
	/** Longest text that is cached, in characters. */
	maximumCachedChars: 8192,
	/** Longest text that is parsed, in characters; a longer one is only scanned, since a parse that usually takes 30 µs takes 10 ms at this length. */
	maximumParsedChars: 32_768,
	/** Maximum number of prepared statements of one session. */
	maximumPrepared: 256,
	/** Maximum size of one session's prepared statements, in bytes. */
	maximumPreparedBytes: 1_048_576,
	/** Maximum size of one request cycle, in bytes. */
	maximumCycleBytes: 33_554_432,
	/** Maximum number of messages of one request cycle. */
	maximumCycleMessages: 10_000,
};

/** Codes of the frontend messages that the proxy handles. */
export const frontendCodes = {
	bind: 0x42,
	close: 0x43,
	describe: 0x44,
	execute: 0x45,
	flush: 0x48,
	parse: 0x50,
	query: 0x51,
	sync: 0x53,
} as const;

/** Codes of the backend messages that the proxy reads or writes. */
export const backendCodes = {
	parseComplete: 0x31,
	bindComplete: 0x32,
	closeComplete: 0x33,
	commandComplete: 0x43,
	dataRow: 0x44,
	errorResponse: 0x45,
	emptyQueryResponse: 0x49,
	parameterStatus: 0x53,
	rowDescription: 0x54,
	readyForQuery: 0x5A,
	noData: 0x6E,
	parameterDescription: 0x74,
} as const;

/** Kinds of target in Describe and Close messages. */
export const targetCodes = {statement: 0x53, portal: 0x50} as const;

/** Object identifier of the type `text`. */
export const textTypeOid = 25;

/**
 * Functions that are certain to change nothing and to need no dedicated connection.
 * A function that is not listed makes its statement a write, which keeps a possible read off
 * the replicas but is always safe.
 */
export const readOnlyFunctions: ReadonlySet<string> = new Set(`
abs acos age any_value array_agg array_append array_cat array_length array_lower array_ndims array_position
array_positions array_prepend array_remove array_replace array_to_json array_to_string array_upper ascii asin atan
atan2 avg bit_and bit_length bit_or bool_and bool_or btrim cardinality cbrt ceil ceiling char_length
character_length chr clock_timestamp coalesce col_description concat concat_ws convert_from convert_to corr cos
cot count covar_pop covar_samp cume_dist current_catalog current_database current_schema current_schemas
current_setting date_bin date_part date_trunc decode degrees dense_rank div encode every exp extract factorial
first_value floor format format_type gcd gen_random_uuid generate_series generate_subscripts greatest has_column_privilege
has_database_privilege has_schema_privilege has_table_privilege initcap isempty isfinite json_agg json_array_elements
json_array_elements_text json_array_length json_build_array json_build_object json_each json_each_text
json_extract_path json_extract_path_text json_object json_object_agg json_object_keys json_populate_record
json_strip_nulls json_to_record json_to_recordset json_typeof jsonb_agg jsonb_array_elements
jsonb_array_elements_text jsonb_array_length jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text
jsonb_extract_path jsonb_extract_path_text jsonb_insert jsonb_object jsonb_object_agg jsonb_object_keys
jsonb_path_exists jsonb_path_match jsonb_path_query jsonb_path_query_array jsonb_path_query_first
jsonb_populate_record jsonb_pretty jsonb_set jsonb_strip_nulls jsonb_to_record jsonb_to_recordset jsonb_typeof
justify_days justify_hours justify_interval lag last_value lcm lead least left length like like_escape ln log
log10 lower lower_inf lpad ltrim make_date make_interval make_time make_timestamp make_timestamptz masklen max
md5 min mod mode normalize now nth_value ntile nullif num_nonnulls num_nulls obj_description octet_length overlaps
overlay percent_rank percentile_cont percentile_disc pg_backend_pid pg_client_encoding pg_column_size
pg_encoding_to_char pg_get_constraintdef pg_get_expr pg_get_indexdef pg_get_serial_sequence pg_get_userbyid
pg_get_viewdef pg_is_in_recovery pg_relation_size pg_size_pretty pg_sleep pg_table_is_visible pg_table_size
pg_total_relation_size pg_type_is_visible pg_typeof pi position power quote_ident quote_literal quote_nullable
radians random rank regexp_count regexp_instr regexp_like regexp_match regexp_matches regexp_replace regexp_split_to_array
regexp_split_to_table regexp_substr regr_avgx regr_avgy regr_count regr_intercept regr_r2 regr_slope repeat replace
reverse right round row_number row_to_json rpad rtrim scale session_user sha224 sha256 sha384 sha512 shobj_description
sign sin split_part sqrt starts_with statement_timestamp stddev stddev_pop stddev_samp string_agg string_to_array
string_to_table strpos substr substring sum tan timezone to_ascii to_char to_date to_hex to_json to_jsonb to_number
to_timestamp to_tsquery to_tsvector transaction_timestamp translate trim trim_array trim_scale trunc ts_headline
ts_rank ts_rank_cd unnest upper upper_inf user var_pop var_samp variance version websearch_to_tsquery plainto_tsquery
phraseto_tsquery width_bucket xmlagg similar_to_escape
`.trim().split(/\s+/v));

/** Functions whose results depend on statements that ran earlier on the same connection. */
export const sessionStateFunctions: ReadonlySet<string> = new Set(['currval', 'lastval']);

/** Table sampling methods that are built into the database. */
export const builtInSamplingMethods: ReadonlySet<string> = new Set(['system', 'bernoulli']);
