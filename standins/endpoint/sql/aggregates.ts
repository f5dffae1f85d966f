/**
 * Aggregate functions: count, sum, min, max and avg.
 */
import type {SqlValue} from '../types.js';
import {
	compareValues, resolveUnknownType, type Evaluation, type Expression,
} from './expression.js';
import {SqlError} from './sql-error.js';
import {sqlTypes, type SqlType} from './sql-types.js';

/** Accumulates values into the result of an aggregate. */
export type Accumulator = {
	add(value: Exclude<SqlValue, undefined>): void;
	result(): SqlValue;
};

/** One aggregate of a query. */
export type Aggregate = {
	readonly type: SqlType;
	/** Undefined for count(*). */
	readonly argument: Expression | undefined;
	readonly isDistinct: boolean;
	readonly createAccumulator: () => Accumulator;
};

function counter(): Accumulator {
	let count = 0;
	return {
		add() {
			count += 1;
		},
		result: () => count,
	};
}

function sumAccumulator(isAverage: boolean): Accumulator {
	let sum = 0;
	let count = 0;
	return {
		add(value) {
			sum += Number(value);
			count += 1;
		},
		result() {
			if (count === 0) {
				return undefined;
			}

			return isAverage ? sum / count : sum;
		},
	};
}

function extremumAccumulator(sign: number): Accumulator {
	let best: SqlValue;
	return {
		add(value) {
			if (best === undefined || compareValues(value, best) * sign > 0) {
				best = value;
			}
		},
		result: () => best,
	};
}

const sumTypes: Readonly<Record<string, SqlType>> = {
	int2: sqlTypes.int8, int4: sqlTypes.int8, int8: sqlTypes.numeric, float4: sqlTypes.float4, float8: sqlTypes.float8,
};

const definitions: Readonly<Record<string, {readonly type: (argument: SqlType) => SqlType; readonly createAccumulator: () => Accumulator}>> = {
	count: {type: () => sqlTypes.int8, createAccumulator: counter},
	sum: {type: argument => sumTypes[argument.name] ?? sqlTypes.numeric, createAccumulator: () => sumAccumulator(false)},
	avg: {type: argument => argument.name.startsWith('float') ? sqlTypes.float8 : sqlTypes.numeric, createAccumulator: () => sumAccumulator(true)},
	min: {type: argument => argument, createAccumulator: () => extremumAccumulator(-1)},
	max: {type: argument => argument, createAccumulator: () => extremumAccumulator(1)},
};

/** Whether a function is an aggregate. */
export function isAggregate(name: string): boolean {
	return Object.hasOwn(definitions, name);
}

/** Compiles the call of an aggregate function. */
export function makeAggregate(name: string, rawArguments: readonly Expression[], isStar: boolean, isDistinct: boolean): Aggregate {
	if (rawArguments.length !== (isStar ? 0 : 1) || (isStar && name !== 'count')) {
		throw new SqlError('42883', `function ${name} with ${rawArguments.length} arguments does not exist`);
	}

	const argument = isStar ? undefined : resolveUnknownType(rawArguments[0]);
	const definition = definitions[name];
	return {
		type: definition.type(argument?.type ?? sqlTypes.int8), argument, isDistinct, createAccumulator: definition.createAccumulator,
	};
}

/** Evaluates aggregates over the rows of one group. */
export function aggregate(aggregates: readonly Aggregate[], evaluations: readonly Evaluation[]): SqlValue[] {
	return aggregates.map(({argument, isDistinct, createAccumulator}) => {
		const accumulator = createAccumulator();
		const seen = new Set<SqlValue>();
		for (const evaluation of evaluations) {
			const value = argument ? argument.evaluate(evaluation) : true;
			if (value === undefined || (isDistinct && seen.has(value))) {
				continue;
			}

			seen.add(value);
			accumulator.add(value);
		}

		return accumulator.result();
	});
}
