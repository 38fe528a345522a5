/**
Index of workers by failure domain and free capacity, so that a search reads few workers out of many.

Each failure domain divides its workers into cells by free accelerators, processors and memory. A worker in a cell
above the wanted amounts always fits; a worker in a cell on the border may fit or not.
*/
import {type Random} from '../types/random.ts';
import {type Resources} from '../types/platform.ts';
import {isWithin} from './placement-resources.ts';
import {isAvailable, type WorkerEntry} from './placement-state.ts';

type Cell = {
	key: number;
	processors: number;
	memory: number;
	accelerators: number;
	workers: WorkerEntry[];
};

/** The workers of one failure domain. */
export type DomainIndex = {
	failureDomain: string;
	region: string;
	count: number;
	/** Cells with workers, in ascending order of free accelerators, then processors, then memory. */
	cells: Cell[];
};

/** How workers are collected; `found` receives them. */
export type CollectOptions = {
	limit: number;
	random: Random;
	found: WorkerEntry[];
	isAllowed(worker: WorkerEntry): boolean;
};

const processorBounds = [0, 0.25, 0.5, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256];
const memoryBounds = [0, 512, 1024, 2048, 4096, 6144, 8192, 12_288, 16_384, 24_576, 32_768, 49_152, 65_536, 98_304, 131_072, 262_144, 524_288];
const acceleratorBounds = [0, 1, 2, 4, 8, 16];
const tolerance = 1e-6;

const getBucket = (bounds: number[], amount: number): number => {
	let step = bounds.length - 1;
	while (step > 0 && bounds[step]! > amount + tolerance) {
		step--;
	}

	return step;
};

const createCellKey = (accelerators: number, processors: number, memory: number): number =>
	(((accelerators * processorBounds.length) + processors) * memoryBounds.length) + memory;

/** Available workers by free capacity. */
export class WorkerIndex {
	readonly #domains = new Map<string, DomainIndex>();
	#domainList: DomainIndex[] = [];
	#size = 0;

	/** Failure domains with at least one worker. */
	get domains(): readonly DomainIndex[] {
		return this.#domainList;
	}

	/** Number of available workers. */
	get size(): number {
		return this.#size;
	}

	/** Moves the worker to the cell of its free capacity, or out of the index if nothing may be placed on it. */
	update(worker: WorkerEntry): void {
		const key = isAvailable(worker) ? getCellKey(worker.free) : -1;
		if (key === worker.cellKey) {
			return;
		}

		this.remove(worker);
		if (key >= 0) {
			this.#insert(worker, key);
		}
	}

	/** Removes the worker from the index. */
	remove(worker: WorkerEntry): void {
		if (worker.cellKey < 0) {
			return;
		}

		const domain = this.#domains.get(getDomainKey(worker))!;
		const position = findCell(domain.cells, worker.cellKey);
		const {workers} = domain.cells[position]!;
		const last = workers.pop()!;
		if (last !== worker) {
			workers[worker.cellPosition] = last;
			last.cellPosition = worker.cellPosition;
		}

		worker.cellKey = -1;
		domain.count--;
		this.#size--;
		if (workers.length === 0) {
			domain.cells.splice(position, 1);
		}

		if (domain.count === 0) {
			this.#domains.delete(getDomainKey(worker));
			this.#domainList = [...this.#domains.values()];
		}
	}

	/**
	Adds up to `limit` workers of the domain on which the need fits: half of them with the least free capacity, half at
	random. If no more than `limit` workers are in fitting cells, all that fit are added.
	*/
	collect(domain: DomainIndex, need: Resources, options: CollectOptions): void {
		const {limit, random, found, isAllowed} = options;
		const cells = listFittingCells(domain.cells, need);
		const total = cells.reduce((sum, cell) => sum + cell.workers.length, 0);
		const tightLimit = found.length + (total <= limit ? limit : Math.ceil(limit / 2));
		collectTightest(cells, need, {...options, limit: tightLimit});
		if (total <= limit || found.length < tightLimit) {
			return;
		}

		for (let draw = 0; draw < limit >> 1; draw++) {
			const worker = drawWorker(cells, random.below(total));
			if (isWithin(need, worker.free) && isAllowed(worker) && !found.includes(worker)) {
				found.push(worker);
			}
		}
	}

	#insert(worker: WorkerEntry, key: number): void {
		const domainKey = getDomainKey(worker);
		let domain = this.#domains.get(domainKey);
		if (!domain) {
			const {failureDomain, region} = worker.spec;
			domain = {
				failureDomain, region, count: 0, cells: [],
			};
			this.#domains.set(domainKey, domain);
			this.#domainList = [...this.#domains.values()];
		}

		const position = findCell(domain.cells, key);
		let cell = domain.cells[position];
		if (cell?.key !== key) {
			cell = createCell(key, worker.free);
			domain.cells.splice(position, 0, cell);
		}

		worker.cellKey = key;
		worker.cellPosition = cell.workers.length;
		cell.workers.push(worker);
		domain.count++;
		this.#size++;
	}
}

const getDomainKey = ({spec}: WorkerEntry): string => `${spec.region}/${spec.failureDomain}`;

const createCell = (key: number, free: Resources): Cell => ({
	key,
	processors: getBucket(processorBounds, free.processors),
	memory: getBucket(memoryBounds, free.memoryMb),
	accelerators: getBucket(acceleratorBounds, free.accelerators),
	workers: [],
});

const getCellKey = ({processors, memoryMb, accelerators}: Resources): number => processors < -tolerance || memoryMb < -tolerance || accelerators < -tolerance
	? -1
	: createCellKey(getBucket(acceleratorBounds, accelerators), getBucket(processorBounds, processors), getBucket(memoryBounds, memoryMb));

const findCell = (cells: Cell[], key: number): number => {
	let low = 0;
	let high = cells.length;
	while (low < high) {
		const middle = (low + high) >> 1;
		if (cells[middle]!.key < key) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
};

const listFittingCells = (cells: Cell[], need: Resources): Cell[] => {
	const processors = getBucket(processorBounds, need.processors);
	const memory = getBucket(memoryBounds, need.memoryMb);
	const accelerators = getBucket(acceleratorBounds, need.accelerators);
	return cells.filter(cell => cell.processors >= processors && cell.memory >= memory && cell.accelerators >= accelerators);
};

const collectTightest = (cells: Cell[], need: Resources, options: CollectOptions): void => {
	const {limit, random, found, isAllowed} = options;
	for (const {workers} of cells) {
		const start = random.below(workers.length);
		for (let step = 0; step < workers.length; step++) {
			if (found.length >= limit) {
				return;
			}

			const worker = workers[(start + step) % workers.length]!;
			if (isWithin(need, worker.free) && isAllowed(worker)) {
				found.push(worker);
			}
		}
	}
};

const drawWorker = (cells: Cell[], drawn: number): WorkerEntry => {
	let rest = drawn;
	for (const {workers} of cells) {
		if (rest < workers.length) {
			return workers[rest]!;
		}

		rest -= workers.length;
	}

	return cells[0]!.workers[0]!;
};
