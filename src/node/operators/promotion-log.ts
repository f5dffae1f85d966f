/**
 * Reports finished promotions from the events that are written to the log.
 */
import {z} from 'zod';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import {Emitter, type Event} from '../../common/lifecycle/emitter.js';
import type {Log, LogEventName} from '../../common/services/services.js';

const promotionSchema = z.object({group: z.string(), reason: z.string(), gapMs: z.number()});

/** A promotion that this node carried out. */
export type FinishedPromotion = z.infer<typeof promotionSchema>;

/** Passes every event on to a log, and fires an event for each finished promotion among them. */
export class PromotionLog implements Log, Disposable {
	readonly onPromotionFinished: Event<FinishedPromotion>;
	private readonly _inner: Log;
	private readonly _onPromotion = new Emitter<FinishedPromotion>();

	constructor(inner: Log) {
		this._inner = inner;
		this.onPromotionFinished = this._onPromotion.event;
	}

	event(name: LogEventName, fields?: Readonly<Record<string, unknown>>): void {
		this._inner.event(name, fields);
		if (name === 'promotionFinished') {
			const {success, data} = promotionSchema.safeParse(fields);
			if (success) {
				this._onPromotion.fire(data);
			}
		}
	}

	dispose(): void {
		this._onPromotion.dispose();
	}
}
