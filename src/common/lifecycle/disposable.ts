/**
 * Lifetimes: every object that holds a resource is disposable and is registered with its owner.
 */

/** Something with a lifetime that ends once. */
export type Disposable = {
	dispose(): void;
};

/** Wraps a function as a disposable that runs it at most once. */
export function toDisposable(onDispose: () => void): Disposable {
	let isDisposed = false;
	return {
		dispose() {
			if (isDisposed) {
				return;
			}

			isDisposed = true;
			onDispose();
		},
	};
}

/** Owns other disposables and disposes them, the last registered first. */
export class DisposableStore implements Disposable {
	private readonly _owned = new Set<Disposable>();
	private _isDisposed = false;

	/** Whether the store has been disposed. */
	get isDisposed(): boolean {
		return this._isDisposed;
	}

	/** Registers a disposable and returns it; if the store is already disposed, it is disposed at once. */
	register<T extends Disposable>(disposable: T): T {
		if (this._isDisposed) {
			disposable.dispose();
			return disposable;
		}

		this._owned.add(disposable);
		return disposable;
	}

	/** Removes a disposable without disposing it. */
	release(disposable: Disposable): void {
		this._owned.delete(disposable);
	}

	dispose(): void {
		if (this._isDisposed) {
			return;
		}

		this._isDisposed = true;
		for (const disposable of [...this._owned].toReversed()) {
			disposable.dispose();
		}

		this._owned.clear();
	}
}
