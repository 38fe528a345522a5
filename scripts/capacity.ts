/**
Measures how costs grow with size, and the resident memory of each role, and writes the tables of docs/CAPACITY.md between its markers.
*/
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {measureCapacity} from '../src/measure/capacity-measurement.ts';
import {type CapacityLine} from '../src/measure/capacity-model.ts';
import {type Slope} from '../src/measure/slope.ts';
import {measureResidentMemory, type ResidentMemory} from './resident-memory.ts';

const page = 'docs/CAPACITY.md';
const seed = 1;
const startMarker = '<!-- tables: start -->';
const endMarker = '<!-- tables: end -->';

const formatNumber = (value: number): string => {
	const digits = Math.abs(value) >= 100 ? 0 : (Math.abs(value) >= 1 ? 1 : 4);
	return value.toLocaleString('en', {maximumFractionDigits: digits});
};

const formatLines = (lines: CapacityLine[]): string[] => [
	'| role | what | at full size | budget | met | mechanism |',
	'| --- | --- | --- | --- | --- | --- |',
	...lines.map(({role, what, value, unit, budget, mechanism}) => {
		const isMet = budget === undefined ? '' : (value <= budget ? 'yes' : `no, ${formatNumber(value / budget)} times over`);
		return `| ${role} | ${what} | ${formatNumber(value)} ${unit} | ${budget === undefined ? '' : `${formatNumber(budget)} ${unit}`} | ${isMet} | ${mechanism} |`;
	}),
];

const formatSlopes = (slopes: Slope[]): string[] => [
	'| measured | at sizes | values | slope | base | largest error |',
	'| --- | --- | --- | --- | --- | --- |',
	...slopes.map(({name, per, perUnit, base, samples, error}) => {
		const [sizes, values] = [samples.map(({size}) => size), samples.map(({value}) => value)].map(numbers => numbers.map(number => formatNumber(number)).join('; '));
		return `| ${name} | ${sizes} | ${values} | ${formatNumber(perUnit)} a ${per} | ${formatNumber(base)} | ${(100 * error).toFixed(0)}% |`;
	}),
];

const formatMemory = (memory: ResidentMemory): string[] => [
	'| process | resident | above bare Node.js |',
	'| --- | --- | --- |',
	...memory.map(({name, residentMb, aboveBareMb}) => `| ${name} | ${formatNumber(residentMb)} MB | ${formatNumber(aboveBareMb)} MB |`),
];

const memory = await measureResidentMemory();
const {slopes, lines} = await measureCapacity({
	seed,
	onProgress(done, total, label) {
		process.stderr.write(`${done}/${total} ${label}\n`);
	},
});
const tables = [
	startMarker,
	'',
	`Measured with seed ${seed} on Node.js ${process.version}.`,
	'',
	'### At full size',
	'',
	...formatLines(lines),
	'',
	'### Measured slopes',
	'',
	...formatSlopes(slopes),
	'',
	'### Resident memory',
	'',
	...formatMemory(memory),
	'',
	endMarker,
].join('\n');
const pageText = readFileSync(page, 'utf8');
writeFileSync(page, pageText.slice(0, pageText.indexOf(startMarker)) + tables + pageText.slice(pageText.indexOf(endMarker) + endMarker.length));
