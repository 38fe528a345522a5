/**
Measures the cost of the configuration: processor time of a change, state and snapshot size of a section, size of a record.
*/
import {ConfigFold} from '../core/config-fold.ts';
import {ConfigRecordType, type ConfigPublish} from '../types/config.ts';
import {fitSlope, type Sample, type Slope} from './slope.ts';
import {getCpuUs, getHeapBytes} from './process-cost.ts';

const sizes = [1000, 3000, 9000];
const changesMeasured = 2000;

/** Measures the fold at several numbers of sections. */
export const measureConfig = async (): Promise<Slope[]> => {
	const cpu: Sample[] = [];
	const state: Sample[] = [];
	const snapshot: Sample[] = [];
	for (const size of sizes) {
		const before = getHeapBytes();
		const fold = new ConfigFold();
		for (let index = 0; index < size; index++) {
			fold.apply({offset: index, value: createChange(index, -1)});
		}

		state.push({size, value: getHeapBytes() - before});
		snapshot.push({size, value: JSON.stringify(fold.createSnapshot('s')).length});
		const spentUs = await getCpuUs(() => {
			for (let index = 0; index < changesMeasured; index++) {
				const section = index % size;
				fold.apply({offset: size + index, value: createChange(section, fold.sections.get(getName(section))!.offset, `${index}`)});
			}
		});
		cpu.push({size, value: spentUs / changesMeasured});
	}

	return [
		fitSlope('processor time of one change, us', 'section', cpu),
		fitSlope('state, bytes', 'section', state),
		fitSlope('snapshot record, bytes', 'section', snapshot),
		fitSlope('record of one change, bytes', 'section', [{size: 1, value: JSON.stringify(createChange(1, 1)).length}]),
	];
};

const getName = (index: number): string => `service service-${index}`;

const createChange = (index: number, baseOffset: number, suffix = ''): ConfigPublish => ({
	type: ConfigRecordType.Publish,
	id: `change-${index}-${baseOffset}-${suffix}`,
	author: 'operator',
	publishedAt: new Date(0).toISOString(),
	sections: {[getName(index)]: {baseOffset, values: {region: 'scot-central', checkDeadlineMs: `${1000 + (index % 1000)}`}}},
});
