/**
Keeps the configuration in force: follows its stream and folds it.
*/
import {ConfigFold} from '../core/config-fold.ts';
import {getMessage} from '../core/errors.ts';
import {type Kernel} from '../core/kernel.ts';
import {followLog} from '../core/log-reader.ts';
import {Metric} from '../types/metrics.ts';
import {Stream} from '../types/platform.ts';
import {ServiceName, type ConfigService} from '../types/services.ts';
import {createLogger, Part} from '../utils/logger.ts';

const log = createLogger(Part.Config);

/** Creates the configuration service. */
export const createConfigService = (kernel: Kernel): ConfigService => {
	const fold = new ConfigFold();
	const metrics = kernel.get(ServiceName.Metrics);
	const control = kernel.get(ServiceName.Control);
	const aborter = new AbortController();
	let hasReadEnd = false;
	let following: Promise<void> | undefined;

	control.addReadiness('config', () => hasReadEnd && fold.isComplete);
	control.addStatus('config', () => ({offset: fold.offset, digest: fold.getDigest(), isComplete: fold.isComplete}));
	control.route('GET', '/v1/config', () => ({
		body: {offset: fold.offset, digest: fold.getDigest(), sections: [...fold.sections.values()]},
	}));

	return {
		isReady: () => hasReadEnd && fold.isComplete,
		getOffset: () => fold.offset,
		getSection: name => fold.sections.get(name),
		getSections: () => new Map(fold.sections),
		getHistory: () => fold.getResults(),
		async start() {
			following = followLog({
				onRecord(record) {
					fold.apply(record);
					metrics.gauge(Metric.ConfigOffset, fold.offset);
				},
				onGap(_fromOffset, oldestOffset) {
					fold.noteGap(oldestOffset);
				},
				onPage(page) {
					hasReadEnd ||= fold.offset + 1 >= page.endOffset;
				},
				onBadRecord(record, error) {
					metrics.count(Metric.BadRecords, Stream.Config);
					log('Bad record at offset %d: %s', record.offset, getMessage(error));
				},
				onUnavailable(message) {
					metrics.count(Metric.LogErrors, Stream.Config);
					log('Cannot read the log: %s', message);
				},
			}, {
				log: kernel.get(ServiceName.Log),
				stream: Stream.Config,
				clock: kernel.get(ServiceName.Clock),
				random: kernel.get(ServiceName.Random),
				fromOffset: 0,
				signal: aborter.signal,
			});
		},
		async stop() {
			aborter.abort();
			await following;
		},
	};
};
