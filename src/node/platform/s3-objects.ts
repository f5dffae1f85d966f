/**
 * The platform's object store over S3's API, with the bucket in the path.
 */
import {
	GetObjectCommand, NoSuchKey, PutObjectCommand, S3Client,
} from '@aws-sdk/client-s3';
import {Right, type Either} from 'purify-ts';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {
	Clock, Log, Metrics, Objects, PlatformFault,
} from '../../common/services/services.js';
import {clientOptions} from './client-options.js';
import {PlatformCalls} from './platform-calls.js';
import type {PlatformSettings} from './settings.js';

type StoredObject = {readonly body: string; readonly etag: string};

/** Client of the bucket that the settings name. */
export class S3Objects implements Objects, Disposable {
	private readonly _client: S3Client;
	private readonly _bucket: string;
	private readonly _calls: PlatformCalls;

	constructor(settings: PlatformSettings, clock: Clock, log: Log, metrics: Metrics) {
		this._client = new S3Client({
			...clientOptions(settings, settings.objectsEndpoint),
			forcePathStyle: true,
			requestChecksumCalculation: 'WHEN_REQUIRED',
			responseChecksumValidation: 'WHEN_REQUIRED',
		});
		this._bucket = settings.bucket;
		this._calls = new PlatformCalls({name: 'objects', timeoutMs: settings.requestTimeoutMs}, clock, log, metrics);
	}

	async get(key: string): Promise<Either<PlatformFault, StoredObject | undefined>> {
		return this._calls.run('get', async abortSignal => {
			try {
				const output = await this._client.send(new GetObjectCommand({Bucket: this._bucket, Key: key}), {abortSignal}); // eslint-disable-line @typescript-eslint/naming-convention
				const body = await output.Body?.transformToString('utf8') ?? '';
				return Right({body, etag: output.ETag ?? ''});
			} catch (error) {
				if (error instanceof NoSuchKey) {
					return Right(undefined);
				}

				throw error;
			}
		});
	}

	async put(key: string, body: string): Promise<Either<PlatformFault, {readonly etag: string}>> {
		return this._calls.run('put', async abortSignal => {
			/* eslint-disable @typescript-eslint/naming-convention -- the service's names. */
			const command = new PutObjectCommand({
				Bucket: this._bucket,
				Key: key,
				Body: body,
				ContentType: 'application/json',
			});
			/* eslint-enable @typescript-eslint/naming-convention */
			const output = await this._client.send(command, {abortSignal});
			return Right({etag: output.ETag ?? ''});
		});
	}

	dispose(): void {
		this._client.destroy();
	}
}
